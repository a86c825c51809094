"""End of a listening socket without loss of accepted connections."""

import asyncio
import socket
from collections.abc import Iterator

from aiohttp import web

# Iterations of the event loop in which an accepted connection is set up.
SETUP_ITERATIONS = 5


async def stop_accepting(
    runner: web.ServerRunner | web.AppRunner,
    opened: socket.socket,
) -> None:
    """Close a listening socket once the accepted connections are set up.

    asyncio leaves a connection unread that it accepted just before its server
    is closed, and the kernel resets those that wait to be accepted.

    Parameters
    ----------
    runner : web.ServerRunner or web.AppRunner
        Runner of the sites that listen at the socket.
    opened : socket.socket
        The socket.
    """
    loop = asyncio.get_running_loop()
    if opened.fileno() >= 0:
        loop.remove_reader(opened)
    for _ in range(SETUP_ITERATIONS):
        await asyncio.sleep(0)
    # Nothing is awaited between the last one and the end of the socket.
    waiting = list(_accept_waiting(opened))
    for site in tuple(runner.sites):
        await site.stop()
    server = runner.server
    for connection in waiting:
        if server is None:
            connection.close()
        else:
            await loop.connect_accepted_socket(server, connection)


def _accept_waiting(opened: socket.socket) -> Iterator[socket.socket]:
    if opened.fileno() < 0:
        return
    while True:
        try:
            connection, _ = opened.accept()
        except OSError:
            # None is left, or no descriptor for one.
            return
        connection.setblocking(False)
        yield connection
