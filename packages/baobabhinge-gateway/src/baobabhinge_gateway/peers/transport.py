"""Heartbeats to other gateways over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar

import aiohttp
import msgspec

from baobabhinge_coordination.membership import (
    Contact,
    Exchange,
    MemberUnreachableError,
)
from baobabhinge_gateway.peers.addresses import PeerAddresses
from baobabhinge_gateway.peers.traffic import PeerTraffic

EXCHANGE_PATH = '/peer/v1/exchange'
PROBE_PATH = '/peer/v1/probes'
REMOTE_TIMEOUT_FACTOR = 4
PROBE_REQUEST_TIMEOUT_FACTOR = 2
OMITTED_HEADERS = (
    'Accept',
    'Accept-Encoding',
    'Content-Type',
    'User-Agent',
)

AnswerT = TypeVar('AnswerT')


class PeerTransport:
    """Send heartbeats to the addresses of other gateways.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    region : str
        Region of this gateway.
    addresses : PeerAddresses
        Finder of addresses.
    patience : timedelta
        Longest wait for an answer from the own region.

    Attributes
    ----------
    traffic : PeerTraffic
        What was sent and received.
    """

    __slots__ = ('_addresses', '_http', '_patience', '_region', 'traffic')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        region: str,
        addresses: PeerAddresses,
        patience: timedelta,
    ) -> None:
        """Send nothing yet."""
        self._http = http
        self._region = region
        self._addresses = addresses
        self._patience = patience
        self.traffic = PeerTraffic()

    async def exchange(self, contact: Contact, request: Exchange) -> Exchange:
        """Send ``request`` and return the answer.

        Raises
        ------
        MemberUnreachableError
            If no answer comes in time.
        """
        body = msgspec.json.encode(request)
        self.traffic.questions_sent += 1
        self.traffic.bytes_sent += len(body)
        try:
            answer = await self._post(contact, EXCHANGE_PATH, body)
        except MemberUnreachableError:
            self.traffic.failures += 1
            raise
        self.traffic.bytes_received += len(answer)
        return _decode(answer, Exchange)

    async def request_probe(self, helper: Contact, target: Contact) -> bool:
        """Ask ``helper`` whether it can reach ``target``."""
        body = msgspec.json.encode(target)
        try:
            answer = await self._post(helper, PROBE_PATH, body)
        except MemberUnreachableError:
            return False
        return answer == b'true'

    async def _post(self, contact: Contact, path: str, body: bytes) -> bytes:
        address = self._addresses.find(contact)
        if address is None:
            raise MemberUnreachableError(f'no address of {contact.name}')
        patience = self._patience
        if contact.region != self._region:
            patience *= REMOTE_TIMEOUT_FACTOR
        elif path == PROBE_PATH:
            patience *= PROBE_REQUEST_TIMEOUT_FACTOR
        async with _type_failures(address):
            return await self._send(f'http://{address}{path}', body, patience)

    async def _send(self, url: str, body: bytes, patience: timedelta) -> bytes:
        limit = aiohttp.ClientTimeout(total=patience.total_seconds())
        async with self._http.post(
            url,
            data=body,
            timeout=limit,
            skip_auto_headers=OMITTED_HEADERS,
        ) as answer:
            if answer.status != HTTPStatus.OK:
                raise MemberUnreachableError(f'{url}: {answer.status}')
            return await answer.read()


def _decode(answer: bytes, kind: type[AnswerT]) -> AnswerT:
    try:
        return msgspec.json.decode(answer, type=kind)
    except msgspec.MsgspecError as bad:
        raise MemberUnreachableError('the answer is malformed') from bad


@asynccontextmanager
async def _type_failures(address: str) -> AsyncIterator[None]:
    try:
        yield
    except (aiohttp.ClientError, TimeoutError) as bad:
        raise MemberUnreachableError(address) from bad
