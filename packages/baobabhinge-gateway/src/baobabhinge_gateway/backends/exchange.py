"""HTTP exchanges; the connection of an unfinished one is closed."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from datetime import timedelta

import aiohttp
import msgspec
from yarl import URL

from baobabhinge_gateway.backends.answers import ExchangeAnswer
from baobabhinge_gateway.calls.call import Headers
from baobabhinge_gateway.calls.headers import (
    OUTCOME,
    REQUEST_ID,
    keep_end_to_end,
)
from baobabhinge_gateway.errors import (
    AnswerBrokenError,
    AnswerTruncatedError,
    NotReachedError,
)
from baobabhinge_platform.sessions import build_session, open_session

CONNECT_TIMEOUT = timedelta(seconds=1)


class ExchangeRequest(msgspec.Struct, frozen=True):
    """A request to a backend server or to another gateway.

    Parameters
    ----------
    method, url : str
        HTTP method and complete URL.
    headers : tuple of pairs
        All headers to send.
    body : bytes
        Complete body.
    time_limit : timedelta
        Bound on the duration of the complete exchange.
    is_retry : bool
        Whether an earlier attempt of the same call has failed.
    """

    method: str
    url: str
    headers: Headers
    body: bytes
    time_limit: timedelta
    is_retry: bool = False


@asynccontextmanager
async def open_exchange(
    http: aiohttp.ClientSession,
    request: ExchangeRequest,
) -> AsyncIterator[ExchangeAnswer]:
    """Send ``request`` and yield its answer.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session with pooled connections; a retry does not use it.
    request : ExchangeRequest
        Request to send.

    Yields
    ------
    ExchangeAnswer
        Answer whose chunks can be read while the context is open.

    Raises
    ------
    NotReachedError
        If no connection was made; no byte of the request was sent.
    AnswerBrokenError
        If the exchange failed after that.
    """
    limit = aiohttp.ClientTimeout(
        total=request.time_limit.total_seconds(),
        sock_connect=CONNECT_TIMEOUT.total_seconds(),
    )
    session_context = open_session(
        http, _build_retry_session, is_retry=request.is_retry
    )
    try:
        async with (
            session_context as session,
            session.request(
                request.method,
                URL(request.url, encoded=True),
                headers=request.headers,
                data=request.body,
                timeout=limit,
                allow_redirects=False,
            ) as response,
        ):
            with _close_unless_read(response):
                yield _build_answer(response)
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as refused:
        raise NotReachedError(request.url) from refused
    except TimeoutError as late:
        raise AnswerBrokenError(
            'the exchange exceeded its time limit'
        ) from late
    except aiohttp.ClientError as broken:
        raise AnswerTruncatedError(
            'the exchange failed before the answer was complete'
        ) from broken


def _build_retry_session() -> aiohttp.ClientSession:
    return build_session(auto_decompress=False)


def _build_answer(response: aiohttp.ClientResponse) -> ExchangeAnswer:
    return ExchangeAnswer(
        response.status,
        keep_end_to_end(response.headers.items()),
        _iterate_chunks(response),
        response.headers.get(REQUEST_ID),
        response.headers.get(OUTCOME),
    )


@contextmanager
def _close_unless_read(response: aiohttp.ClientResponse) -> Iterator[None]:
    """Close the connection unless the answer was read to its end.

    A reused connection would give the rest of it to the next exchange.
    """
    try:
        yield
    finally:
        if not response.content.at_eof():
            response.close()


async def _iterate_chunks(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    async for chunk in response.content.iter_any():
        yield chunk
