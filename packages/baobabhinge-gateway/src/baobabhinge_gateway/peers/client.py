"""HTTP client of the other gateways, for all but heartbeats."""

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
    """Send requests to other gateways.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    addresses : PeerAddresses
        Resolves the addresses of gateways.
    """

    __slots__ = ('_addresses', '_http')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        addresses: PeerAddresses,
    ) -> None:
        """Store the collaborators; nothing is sent."""
        self._http = http
        self._addresses = addresses

    async def fetch_release_delta(
        self,
        contact: Contact,
        since: Publication,
    ) -> ReleaseDelta:
        """Return the difference of a gateway's release from ``since``.

        Raises
        ------
        MemberUnreachableError
            If there is no readable answer within `FETCH_TIMEOUT`.
        """
        query = f'?generation={since.generation}&publish={since.publish_id}'
        path = f'{RELEASE_PATH}{query}'
        return await self._fetch(contact, path, ReleaseDelta)

    async def fetch_vms(self, contact: Contact) -> tuple[Vm, ...]:
        """Return the list of vms as a gateway has last read it.

        Raises
        ------
        MemberUnreachableError
            If there is no readable answer within `FETCH_TIMEOUT`.
        """
        return await self._fetch(contact, VMS_PATH, tuple[Vm, ...])

    async def post(
        self,
        contact: Contact,
        path: str,
        body: bytes,
        max_wait: timedelta,
    ) -> bytes:
        """Send ``body`` to a gateway and return its answer.

        Raises
        ------
        MemberUnreachableError
            If it has no known address, does not answer within ``max_wait``
            or answers with an error status.
        """
        address = self._addresses.find(contact)
        if address is None:
            raise MemberUnreachableError(
                f'no known address of gateway {contact.name}'
            )
        timeout = aiohttp.ClientTimeout(total=max_wait.total_seconds())
        request = self._http.post(
            f'http://{address}{path}',
            data=body,
            timeout=timeout,
            raise_for_status=True,
        )
        try:
            return await _read(request)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise MemberUnreachableError(address) from error

    async def _fetch(
        self,
        contact: Contact,
        path: str,
        document_type: type[DocumentT],
    ) -> DocumentT:
        address = self._addresses.find(contact)
        if address is None:
            raise MemberUnreachableError(
                f'no known address of gateway {contact.name}'
            )
        try:
            body = await self._get(f'http://{address}{path}')
        except (aiohttp.ClientError, TimeoutError) as error:
            raise MemberUnreachableError(address) from error
        try:
            return msgspec.json.decode(body, type=document_type)
        except msgspec.MsgspecError as error:
            raise MemberUnreachableError(address) from error

    async def _get(self, url: str) -> bytes:
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT.total_seconds())
        return await _read(
            self._http.get(url, timeout=timeout, raise_for_status=True),
        )


async def _read(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse],
) -> bytes:
    async with request as answer:
        return await answer.read()
