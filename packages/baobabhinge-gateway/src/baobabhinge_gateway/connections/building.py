"""Construction of HTTP servers, and the check of their connections."""

import asyncio
from datetime import timedelta
from typing import Any

from aiohttp import web

from baobabhinge_gateway.connections.closing import WatchedConnection
from baobabhinge_gateway.connections.server import (
    AnswerRequest as AnswerRequest,
)
from baobabhinge_gateway.connections.server import (
    BoundedServer,
)
from baobabhinge_gateway.connections.server import (
    ListenerBounds as ListenerBounds,
)

# Above the idle limit of all known configurations: callers reuse a connection
# that was idle for up to four fifths of the limit in force.
IDLE_TIMEOUT = timedelta(seconds=60)
MAX_HEAD_BYTES = 16384
CHECK_SECONDS = 0.5
# After a pause of the process, what has arrived is read first.
MAX_DELAY_SECONDS = 0.25


class WatchingServer(web.Server):
    """Server that trusts its clients, and notices that they leave."""

    def __call__(self) -> WatchedConnection:
        """Return the protocol of a new connection."""
        return WatchedConnection(self, loop=self._loop, **self._kwargs)


def build_server(
    answer: AnswerRequest, bounds: ListenerBounds | None
) -> web.Server:
    """Return a server without a socket.

    Parameters
    ----------
    answer : callable
        Coroutine function that answers a request.
    bounds : ListenerBounds or None
        Bounds on the clients; without them, they are trusted.
    """
    options: dict[str, Any] = {
        'handler_cancellation': True,
        'access_log': None,
        'keepalive_timeout': IDLE_TIMEOUT.total_seconds(),
        'max_line_size': MAX_HEAD_BYTES,
        'max_field_size': MAX_HEAD_BYTES,
        'auto_decompress': False,
    }
    if bounds is None:
        return WatchingServer(answer, **options)
    return BoundedServer(answer, bounds, **options)


async def watch_connections(server: web.Server) -> None:
    """Close overdue connections of a server that has bounds, until cancelled.

    It returns at once if the server has none.
    """
    loop = asyncio.get_running_loop()
    while isinstance(server, BoundedServer):
        due = loop.time() + CHECK_SECONDS
        await asyncio.sleep(CHECK_SECONDS)
        if loop.time() - due < MAX_DELAY_SECONDS:
            server.close_overdue()
