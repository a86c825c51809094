"""One HTTP exchange with a backend server or another gateway."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
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
from baobabhinge_gateway.forwarding.pending_requests import (
    SendCheck,
    hold_request,
)

# Below the 1 s for which callers wait for a connection, above a round trip to
# a server of the local region (a few ms) or of another region (160 ms).
CONNECT_TIMEOUT = timedelta(milliseconds=700)
# Of an answer whose head says that the call did not run.
MAX_DISCARDED_BYTES = 1 << 16
DISCARD_TIMEOUT = timedelta(milliseconds=100)
# RFC 9110, section 15. Of the interim answers, which aiohttp skips, it returns
# 101, which answers a request for another protocol.
FINAL_STATUSES = range(200, 600)


class OutboundRequest(msgspec.Struct, frozen=True):
    """Request to a backend server or another gateway.

    Parameters
    ----------
    method, address, target : str
        Method, ``host:port``, and path with query.
    headers : tuple of pairs
        All headers.
    body : bytes
        Complete body.
    limit : timedelta
        Upper bound of the time for the complete exchange.
    check : callable or None
        Called once there is a connection; raises an error if the request is not
        to be sent any more.
    """

    method: str
    address: str
    target: str
    headers: Headers
    body: bytes
    limit: timedelta
    check: SendCheck | None = None


@asynccontextmanager
async def open_exchange(
    http: aiohttp.ClientSession,
    outbound: OutboundRequest,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send ``outbound`` once and yield the head of its answer.

    The connection is closed unless the answer is read to its end, and reset if
    the exchange is cancelled, or late, before the answer begins. An error that
    the check raises is passed on; nothing was sent then.

    Raises
    ------
    NotReachedError
        If no connection was made, so that nothing was sent.
    TimeLimitError
        If the answer was not complete within the limit.
    UnknownOutcomeError
        If the exchange failed after the request was sent.
    """
    limit = aiohttp.ClientTimeout(
        total=max(outbound.limit.total_seconds(), 0.001),
        sock_connect=CONNECT_TIMEOUT.total_seconds(),
    )
    try:
        with hold_request(outbound.check) as pending:
            async with http.request(
                outbound.method,
                URL(
                    f'http://{outbound.address}{outbound.target}', encoded=True
                ),
                headers=outbound.headers,
                data=outbound.body or None,
                timeout=limit,
                allow_redirects=False,
            ) as response:
                pending.end()
                with _closing_unless_read(response):
                    _check_status(response)
                    yield response
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as unreachable:
        raise NotReachedError(outbound.address) from unreachable
    except TimeoutError as late:
        raise TimeLimitError(
            'no complete answer within the time limit'
        ) from late
    except (aiohttp.ClientError, aiohttp.http.HttpProcessingError) as broken:
        raise UnknownOutcomeError(
            f'the exchange failed: {broken!r}'
        ) from broken


@contextmanager
def _closing_unless_read(response: aiohttp.ClientResponse) -> Iterator[None]:
    try:
        yield
    finally:
        if not response.content.is_eof():
            response.close()


def _check_status(response: aiohttp.ClientResponse) -> None:
    """Raise an error if the status is none of a final answer.

    Raises
    ------
    UnknownOutcomeError
        If it is not; nothing else in the head can be relied on then.
    """
    if response.status not in FINAL_STATUSES:
        response.close()
        raise UnknownOutcomeError(
            f'{response.status} is no status of a final answer'
        )


async def discard_body(response: aiohttp.ClientResponse) -> None:
    """Read a body that nobody needs, so that its connection can be reused.

    Nothing is raised if the body is long, late or broken, as its head says all.
    """
    length = 0
    with suppress(aiohttp.ClientError, TimeoutError):
        async with asyncio.timeout(DISCARD_TIMEOUT.total_seconds()):
            async for chunk in response.content.iter_any():
                length += len(chunk)
                if length > MAX_DISCARDED_BYTES:
                    break
