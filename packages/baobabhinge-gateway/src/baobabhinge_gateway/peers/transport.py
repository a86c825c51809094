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
        Resolves the addresses of gateways.
    timeout : timedelta
        Longest wait for an answer from the local region. It is multiplied by
        `REMOTE_TIMEOUT_FACTOR` for other regions, and for a probe request
        within the region by `PROBE_REQUEST_TIMEOUT_FACTOR`.

    Attributes
    ----------
    traffic : PeerTraffic
        Counters of what was sent and received.
    """

    __slots__ = ('_addresses', '_http', '_region', '_timeout', 'traffic')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        region: str,
        addresses: PeerAddresses,
        timeout: timedelta,
    ) -> None:
        """Store the collaborators; counters start at zero."""
        self._http = http
        self._region = region
        self._addresses = addresses
        self._timeout = timeout
        self.traffic = PeerTraffic()

    async def exchange(self, contact: Contact, request: Exchange) -> Exchange:
        """Send a heartbeat and return the answer to it.

        Raises
        ------
        MemberUnreachableError
            If there is no address or no well-formed answer in time.
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
        """Return whether ``helper`` reports that it reached ``target``."""
        body = msgspec.json.encode(target)
        try:
            answer = await self._post(helper, PROBE_PATH, body)
        except MemberUnreachableError:
            return False
        return answer == b'true'

    async def _post(self, contact: Contact, path: str, body: bytes) -> bytes:
        address = self._addresses.find(contact)
        if address is None:
            raise MemberUnreachableError(
                f'no known address of gateway {contact.name}'
            )
        max_wait = self._timeout
        if contact.region != self._region:
            max_wait *= REMOTE_TIMEOUT_FACTOR
        elif path == PROBE_PATH:
            max_wait *= PROBE_REQUEST_TIMEOUT_FACTOR
        async with _convert_failures(address):
            return await self._send(f'http://{address}{path}', body, max_wait)

    async def _send(self, url: str, body: bytes, max_wait: timedelta) -> bytes:
        timeout = aiohttp.ClientTimeout(total=max_wait.total_seconds())
        async with self._http.post(
            url,
            data=body,
            timeout=timeout,
            skip_auto_headers=OMITTED_HEADERS,
        ) as answer:
            if answer.status != HTTPStatus.OK:
                raise MemberUnreachableError(
                    f'{url} answered with status {answer.status}'
                )
            return await answer.read()


def _decode(answer: bytes, answer_type: type[AnswerT]) -> AnswerT:
    try:
        return msgspec.json.decode(answer, type=answer_type)
    except msgspec.MsgspecError as error:
        raise MemberUnreachableError(
            'the answer to a heartbeat is malformed'
        ) from error


@asynccontextmanager
async def _convert_failures(address: str) -> AsyncIterator[None]:
    try:
        yield
    except (aiohttp.ClientError, TimeoutError) as error:
        raise MemberUnreachableError(address) from error
