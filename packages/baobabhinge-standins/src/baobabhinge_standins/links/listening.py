"""Listening for as long as the target listens too."""

import asyncio
import socket
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

    The port stays bound while it refuses, so that nobody else is given it.

    Parameters
    ----------
    target : str
        ``host:port`` of the target.
    accept : callable
        Takes each connection.

    Attributes
    ----------
    port : int
        The port.
    """

    __slots__ = (
        '_accept',
        '_claim',
        '_is_wanted',
        '_opening',
        '_server',
        '_target',
        '_waiting',
        'port',
    )

    def __init__(self, target: str, accept: Accept) -> None:
        """Claim a port; listen nowhere yet."""
        self._claim = _claim_port()
        self.port: int = self._claim.getsockname()[1]
        self._opening = asyncio.Lock()
        self._target = target
        self._accept = accept
        self._server: asyncio.Server | None = None
        self._waiting: asyncio.Task[None] | None = None
        self._is_wanted = False

    async def open(self) -> None:
        """Listen, unless the gate is closed meanwhile."""
        self._is_wanted = True
        async with self._opening:
            if self._server is None:
                self._server = await asyncio.start_server(
                    self._accept,
                    HOST,
                    self.port,
                )
        if not self._is_wanted:
            self.close()

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


def _claim_port() -> socket.socket:
    """Return a socket bound to a free port at which it does not listen."""
    claim = socket.socket()
    claim.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    claim.bind((HOST, 0))
    return claim
