"""Transfer of state from another gateway over HTTP."""

import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from http import HTTPStatus

import aiohttp
import msgspec

from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.failures import UnknownOutcomeError
from baobabhinge_gateway.forwarding.memory_budget import MemoryBudget
from baobabhinge_gateway.forwarding.snapshot_query import DEFLATE
from baobabhinge_platform.answers import MAX_ANSWER_BYTES, read_bounded

FETCH_TIMEOUT = timedelta(seconds=1)
ENCODING_HEADER = 'Content-Encoding'
RETRY_AFTER_HEADER = 'State-Retry-After-Ms'
MILLISECOND = timedelta(milliseconds=1)
# Half of the gateways that have the state by then have told so.
LONGEST_RETRY_AFTER = timedelta(milliseconds=300)


class StateAnswer(msgspec.Struct, frozen=True):
    """Answer to a gateway that asks for state.

    Parameters
    ----------
    body : bytes
        Encoded snapshot.
    is_deflated : bool
        Whether ``body`` is compressed.
    retry_after : timedelta or None
        Set if the gateway sends too much already: when it is to be asked again,
        unless another one has the state.
    """

    body: bytes
    is_deflated: bool = False
    retry_after: timedelta | None = None

    @property
    def status(self) -> HTTPStatus:
        """Status of the answer."""
        if self.retry_after is None:
            return HTTPStatus.OK
        return HTTPStatus.SERVICE_UNAVAILABLE

    def list_headers(self) -> dict[str, str]:
        """Return the headers of the answer."""
        headers = {}
        if self.is_deflated:
            headers[ENCODING_HEADER] = DEFLATE
        if self.retry_after is not None:
            milliseconds = self.retry_after // MILLISECOND
            headers[RETRY_AFTER_HEADER] = str(milliseconds)
        return headers

    def inflate(self) -> bytes:
        """Return the encoded snapshot, not compressed.

        Raises
        ------
        UnknownOutcomeError
            If it can't be read, or is longer than `MAX_ANSWER_BYTES`.
        """
        if not self.is_deflated:
            return self.body
        inflating = zlib.decompressobj()
        try:
            inflated = inflating.decompress(self.body, MAX_ANSWER_BYTES)
        except zlib.error as broken:
            raise UnknownOutcomeError(f'unreadable: {broken}') from broken
        if not inflating.eof:
            raise UnknownOutcomeError('the snapshot is cut off, or too long')
        return inflated


# Asks the gateway at ``host:port`` for a path with a query. Raises
# `NotReachedError` or `ForwardingError`.
StateTransfer = Callable[[str, str], Awaitable[StateAnswer]]


class HttpTransfer:
    """Ask other gateways over HTTP.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the requests; it is not closed here.
    memory : MemoryBudget
        Bound on the bytes of all answers.
    limit : timedelta, optional
        Upper bound of the time for one exchange.
    """

    __slots__ = ('_http', '_limit', '_memory')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        memory: MemoryBudget,
        limit: timedelta = FETCH_TIMEOUT,
    ) -> None:
        """Store the collaborators."""
        self._http = http
        self._limit = limit
        self._memory = memory

    async def fetch(self, address: str, target: str) -> StateAnswer:
        """Return the answer of the gateway at ``address``.

        Raises as `open_exchange` does.
        """
        outbound = OutboundRequest('GET', address, target, (), b'', self._limit)
        with self._memory.open_use() as memory:
            async with open_exchange(self._http, outbound) as response:
                body = await read_bounded(
                    response, partial(memory.add_answer, address)
                )
                return _read_answer(response, body)


def _read_answer(response: aiohttp.ClientResponse, body: bytes) -> StateAnswer:
    if response.status == HTTPStatus.OK:
        encoding = response.headers.get(ENCODING_HEADER)
        return StateAnswer(body, is_deflated=encoding == DEFLATE)
    milliseconds = response.headers.get(RETRY_AFTER_HEADER, '')
    if not milliseconds.isdecimal():
        raise UnknownOutcomeError(f'answered with {response.status}')
    longest = LONGEST_RETRY_AFTER // MILLISECOND
    # Python refuses to convert numbers of thousands of digits.
    is_short = len(milliseconds) <= len(str(longest))
    told = int(milliseconds) if is_short else longest
    return StateAnswer(b'', retry_after=min(longest, told) * MILLISECOND)
