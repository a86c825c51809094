"""HTTP sessions that send each request once."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp

from baobabhinge_platform.answers import BoundedConnector, BoundedResponse


async def send_once(
    request: aiohttp.ClientRequest,
    send: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Send a request without the automatic retry of aiohttp.

    Errors after which aiohttp would send the request again are raised as
    another type.

    Raises
    ------
    aiohttp.ClientConnectionError
        If the connection failed during the exchange; the server may have
        run the request.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(str(error)) from error


def build_session(*, auto_decompress: bool = True) -> aiohttp.ClientSession:
    """Create a session that sends each request once; its owner closes it.

    A request must not be given ``middlewares`` of its own: they replace
    `send_once`, and aiohttp could send that request a second time.

    Parameters
    ----------
    auto_decompress : bool, optional
        Whether bodies are decompressed when they are read.
    """
    return aiohttp.ClientSession(
        auto_decompress=auto_decompress,
        connector=BoundedConnector(),
        middlewares=(send_once,),
        response_class=BoundedResponse,
    )


@asynccontextmanager
async def open_session(
    http: aiohttp.ClientSession,
    build: Callable[[], aiohttp.ClientSession],
    *,
    is_retry: bool,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield the session for one attempt of a call.

    A fault that broke one connection may have broken the pooled ones too,
    and each of them would make a retry fail. A retry therefore gets a
    session of its own, and with it a new connection.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session with pooled connections; its owner closes it.
    build : callable
        Creates a session with the same options.
    is_retry : bool
        Whether an earlier attempt of the same call has failed.
    """
    if not is_retry:
        yield http
        return
    async with build() as new_session:
        yield new_session
