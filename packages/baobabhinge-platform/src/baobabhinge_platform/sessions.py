"""HTTP sessions that send each request once."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp


async def send_once(
    request: aiohttp.ClientRequest,
    send: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Send a request and never send it again, as aiohttp does by itself.

    Raises
    ------
    aiohttp.ClientConnectionError
        If the exchange broke off; the other side may have run the request.
    """
    try:
        return await send(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as broken:
        raise aiohttp.ClientConnectionError(str(broken)) from broken


def build_session(*, auto_decompress: bool = True) -> aiohttp.ClientSession:
    """Return a session that sends each request once; its owner closes it.

    A request that is given middlewares of its own loses this: aiohttp puts
    them in place of the session's.

    Parameters
    ----------
    auto_decompress : bool, optional
        Whether bodies are read decompressed.
    """
    return aiohttp.ClientSession(
        auto_decompress=auto_decompress,
        connector=aiohttp.TCPConnector(limit=0),
        middlewares=(send_once,),
    )


@asynccontextmanager
async def open_session(
    http: aiohttp.ClientSession,
    build: Callable[[], aiohttp.ClientSession],
    *,
    is_retry: bool,
) -> AsyncIterator[aiohttp.ClientSession]:
    """Yield the session that is to send a request.

    What broke one connection may have broken those that were kept open, and
    each of them would cost a repeat that goes out on it. So a repeat gets a
    session, and with it a connection, of its own.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session with kept connections; its owner closes it.
    build : callable
        Returns a session like it.
    is_retry : bool
        Whether an earlier attempt of the same call has failed.
    """
    if not is_retry:
        yield http
        return
    async with build() as own:
        yield own
