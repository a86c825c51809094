"""One HTTP exchange with a backend server or another gateway."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta

import aiohttp
import msgspec
from yarl import URL

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.call import Headers
from baobabhinge_gateway.forwarding.failures import (
    TimeLimitError,
    UnknownOutcomeError,
)

# A caller waits a second for a connection; a server of the own region answers
# in a few ms, one of another region in 160 ms.
CONNECT_TIMEOUT = timedelta(milliseconds=700)
MAX_ANSWER_BYTES = 16 << 20


class OutboundRequest(msgspec.Struct, frozen=True):
    """A request on its way out.

    Parameters
    ----------
    method, address, target : str
        Method, ``host:port`` and path with query.
    headers : tuple of pairs
        All headers.
    body : bytes
        Whole body.
    limit : timedelta
        Longest time of the whole exchange.
    """

    method: str
    address: str
    target: str
    headers: Headers
    body: bytes
    limit: timedelta


@asynccontextmanager
async def open_exchange(
    http: aiohttp.ClientSession,
    outbound: OutboundRequest,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send ``outbound`` once and yield the head of the answer.

    A connection whose answer was not read to its end is closed.

    Raises
    ------
    NotReachedError
        If no byte was written.
    TimeLimitError
        If the exchange took too long.
    UnknownOutcomeError
        If it broke after the request was sent.
    """
    limit = aiohttp.ClientTimeout(
        total=max(outbound.limit.total_seconds(), 0.001),
        sock_connect=CONNECT_TIMEOUT.total_seconds(),
    )
    try:
        async with http.request(
            outbound.method,
            URL(f'http://{outbound.address}{outbound.target}', encoded=True),
            headers=outbound.headers,
            data=outbound.body or None,
            timeout=limit,
            allow_redirects=False,
        ) as response:
            with _closing_unless_read(response):
                yield response
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as refused:
        raise NotReachedError(outbound.address) from refused
    except TimeoutError as late:
        raise TimeLimitError('no whole answer within the limit') from late
    except (aiohttp.ClientError, aiohttp.http.HttpProcessingError) as broken:
        raise UnknownOutcomeError(f'exchange broke: {broken!r}') from broken


@contextmanager
def _closing_unless_read(response: aiohttp.ClientResponse) -> Iterator[None]:
    try:
        yield
    finally:
        if not response.content.is_eof():
            response.close()


async def read_complete(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    UnknownOutcomeError
        If it is longer than a gateway keeps.
    """
    pieces = []
    length = 0
    async for piece in response.content.iter_any():
        length += len(piece)
        if length > MAX_ANSWER_BYTES:
            raise UnknownOutcomeError('the answer is too long to be kept')
        pieces.append(piece)
    return b''.join(pieces)


async def fetch(
    http: aiohttp.ClientSession,
    address: str,
    path: str,
    limit: timedelta,
) -> bytes:
    """Return the whole body that a gateway has at ``path``; see above."""
    outbound = OutboundRequest('GET', address, path, (), b'', limit)
    async with open_exchange(http, outbound) as response:
        return await read_complete(response)
