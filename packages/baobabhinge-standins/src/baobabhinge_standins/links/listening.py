"""Listening for as long as the target listens too."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from baobabhinge_standins.links.connection import End

HOST = '127.0.0.1'
PROBE_INTERVAL = timedelta(milliseconds=50)

Accept = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


class Gate:
    """A port that refuses connections while its target refuses them.

    Parameters
    ----------
    target : str
        ``host:port`` of the target.
    accept : callable
        Takes each connection.

    Attributes
    ----------
    port : int
        The port; 0 before it is opened for the first time.
    """

    __slots__ = (
        '_accept',
        '_is_wanted',
        '_server',
        '_target',
        '_waiting',
        'port',
    )

    def __init__(self, target: str, accept: Accept) -> None:
        """Listen nowhere yet."""
        self._target = target
        self._accept = accept
        self._server: asyncio.Server | None = None
        self._waiting: asyncio.Task[None] | None = None
        self._is_wanted = False
        self.port = 0

    async def open(self) -> None:
        """Listen, at the same port as before."""
        self._is_wanted = True
        if self._server is None:
            server = await asyncio.start_server(self._accept, HOST, self.port)
            self.port = server.sockets[0].getsockname()[1]
            self._server = server

    def close(self, *, until_target: bool = False) -> None:
        """Refuse connections from now on; open ones stay.

        Parameters
        ----------
        until_target : bool, optional
            Whether to listen again once the target does.
        """
        self._is_wanted = self._is_wanted and until_target
        if self._server is not None:
            self._server.close()
            self._server = None

    async def connect(self) -> End | None:
        """Return a connection to the target, or ``None`` if it refuses."""
        host, _, port = self._target.rpartition(':')
        try:
            return End(*await asyncio.open_connection(host, int(port)))
        except OSError:
            self._wait_for_target()
            return None

    async def check_target(self) -> None:
        """Refuse connections for as long as the target refuses them."""
        probe = await self.connect()
        if probe is not None:
            probe.writer.close()

    def _wait_for_target(self) -> None:
        self.close(until_target=True)
        if self._waiting is None or self._waiting.done():
            self._waiting = asyncio.create_task(self._wait_target())

    async def _wait_target(self) -> None:
        probe = None
        while probe is None:
            await asyncio.sleep(PROBE_INTERVAL.total_seconds())
            probe = await self.connect()
        probe.writer.close()
        if self._is_wanted:
            await self.open()
