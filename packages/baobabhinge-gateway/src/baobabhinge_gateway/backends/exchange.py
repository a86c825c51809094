"""One HTTP exchange, closed if it is abandoned."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta

import aiohttp
import msgspec
from yarl import URL

from baobabhinge_gateway.backends.answers import Answer
from baobabhinge_gateway.calls.headers import (
    OUTCOME,
    REQUEST_ID,
    keep_end_to_end,
)
from baobabhinge_gateway.calls.model import Headers
from baobabhinge_gateway.errors import (
    AnswerBrokenError,
    AnswerSeveredError,
    NotReachedError,
)
from baobabhinge_platform.sessions import build_session, open_session

CONNECT_TIMEOUT = timedelta(seconds=1)


class Outbound(msgspec.Struct, frozen=True):
    """A request to a backend server or to another gateway.

    Parameters
    ----------
    method, url : str
        HTTP method and full address.
    headers : tuple of pairs
        All headers to send.
    body : bytes
        Whole body.
    patience : timedelta
        Longest time for the whole exchange.
    is_repeat : bool
        Whether an earlier attempt of the same call has failed.
    """

    method: str
    url: str
    headers: Headers
    body: bytes
    patience: timedelta
    is_repeat: bool = False


@asynccontextmanager
async def open_exchange(
    http: aiohttp.ClientSession,
    outbound: Outbound,
) -> AsyncIterator[Answer]:
    """Send ``outbound`` and yield the answer.

    Yields
    ------
    Answer
        Its pieces are read while the context is open.

    Raises
    ------
    NotReachedError
        If the connection was refused before a byte was written.
    AnswerBrokenError
        If the exchange broke after that.
    """
    limit = aiohttp.ClientTimeout(
        total=outbound.patience.total_seconds(),
        sock_connect=CONNECT_TIMEOUT.total_seconds(),
    )
    choice = open_session(http, _build_alike, is_retry=outbound.is_repeat)
    try:
        async with (
            choice as session,
            session.request(
                outbound.method,
                URL(outbound.url, encoded=True),
                headers=outbound.headers,
                data=outbound.body,
                timeout=limit,
                allow_redirects=False,
            ) as response,
        ):
            with _closing_unless_read(response):
                yield _build_answer(response)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as refused:
        raise NotReachedError(outbound.url) from refused
    except TimeoutError as late:
        raise AnswerBrokenError('the exchange took too long') from late
    except aiohttp.ClientError as broken:
        raise AnswerSeveredError('the exchange broke off') from broken


def _build_alike() -> aiohttp.ClientSession:
    return build_session(auto_decompress=False)


def _build_answer(response: aiohttp.ClientResponse) -> Answer:
    return Answer(
        response.status,
        keep_end_to_end(response.headers.items()),
        _read_pieces(response),
        response.headers.get(REQUEST_ID),
        response.headers.get(OUTCOME),
    )


@contextmanager
def _closing_unless_read(response: aiohttp.ClientResponse) -> Iterator[None]:
    """Close the connection if the answer was not read to its end.

    A reused connection would hand the rest of it to the next exchange.
    """
    try:
        yield
    finally:
        if not response.content.at_eof():
            response.close()


async def _read_pieces(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    async for piece in response.content.iter_any():
        yield piece
