"""Documents that other gateways hand out."""

from contextlib import AbstractAsyncContextManager
from datetime import timedelta
from typing import TypeVar

import aiohttp
import msgspec

from baobabhinge_coordination.generations import Publication, ReleaseDelta
from baobabhinge_coordination.membership import (
    Contact,
    MemberUnreachableError,
)
from baobabhinge_gateway.peers.addresses import PeerAddresses
from baobabhinge_gateway.peers.routes import RELEASE_PATH, VMS_PATH
from baobabhinge_platform.machines import Vm

FETCH_TIMEOUT = timedelta(seconds=5)

DocumentT = TypeVar('DocumentT')


class PeerClient:
    """Fetch documents from other gateways.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    addresses : PeerAddresses
        Finder of addresses.
    """

    __slots__ = ('_addresses', '_http')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        addresses: PeerAddresses,
    ) -> None:
        """Keep the parts; nothing is sent."""
        self._http = http
        self._addresses = addresses

    async def fetch_release_delta(
        self,
        contact: Contact,
        since: Publication,
    ) -> ReleaseDelta:
        """Return what leads from ``since`` to the release of a gateway.

        Raises
        ------
        MemberUnreachableError
            If it can't be read.
        """
        query = f'?generation={since.generation}&publish={since.publish_id}'
        path = f'{RELEASE_PATH}{query}'
        return await self._fetch(contact, path, ReleaseDelta)

    async def fetch_vms(self, contact: Contact) -> tuple[Vm, ...]:
        """Return the list of vms as a gateway has last seen it.

        Raises
        ------
        MemberUnreachableError
            If it can't be read.
        """
        return await self._fetch(contact, VMS_PATH, tuple[Vm, ...])

    async def post(
        self,
        contact: Contact,
        path: str,
        body: bytes,
        patience: timedelta,
    ) -> bytes:
        """Send ``body`` to a gateway and return its answer.

        Raises
        ------
        MemberUnreachableError
            If it does not answer in time, or refuses.
        """
        address = self._addresses.find(contact)
        if address is None:
            raise MemberUnreachableError(f'no address of {contact.name}')
        limit = aiohttp.ClientTimeout(total=patience.total_seconds())
        sending = self._http.post(
            f'http://{address}{path}',
            data=body,
            timeout=limit,
            raise_for_status=True,
        )
        try:
            return await _read(sending)
        except (aiohttp.ClientError, TimeoutError) as bad:
            raise MemberUnreachableError(address) from bad

    async def _fetch(
        self,
        contact: Contact,
        path: str,
        kind: type[DocumentT],
    ) -> DocumentT:
        address = self._addresses.find(contact)
        if address is None:
            raise MemberUnreachableError(f'no address of {contact.name}')
        try:
            body = await self._get(f'http://{address}{path}')
        except (aiohttp.ClientError, TimeoutError) as bad:
            raise MemberUnreachableError(address) from bad
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as malformed:
            raise MemberUnreachableError(address) from malformed

    async def _get(self, url: str) -> bytes:
        limit = aiohttp.ClientTimeout(total=FETCH_TIMEOUT.total_seconds())
        return await _read(
            self._http.get(url, timeout=limit, raise_for_status=True),
        )


async def _read(
    sending: AbstractAsyncContextManager[aiohttp.ClientResponse],
) -> bytes:
    async with sending as answer:
        return await answer.read()
