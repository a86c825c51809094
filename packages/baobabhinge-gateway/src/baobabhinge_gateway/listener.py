"""Service that serves a web application at an address."""

import asyncio
import socket
from datetime import timedelta

import structlog
from aiohttp import web
from mode import Service

from baobabhinge_gateway.accepting import stop_accepting
from baobabhinge_gateway.callers.runner import GuardedRunner
from baobabhinge_gateway.errors import AddressTakenError

log = structlog.get_logger(__name__)

SHUTDOWN_TIMEOUT = timedelta(seconds=60)
# Above a round trip between regions, 160 ms.
CROSSING_TIME = timedelta(milliseconds=200)


class Listener(Service):
    """Listening socket that serves one web application.

    Parameters
    ----------
    app : web.Application
        Application to serve.
    address : str
        ``host:port`` to listen at.
    """

    def __init__(self, app: web.Application, address: str) -> None:
        """Build the runner; the socket is bound in `on_start`."""
        super().__init__()
        self._address = address
        self._opened: socket.socket | None = None
        self._runner = GuardedRunner(
            app,
            shutdown_timeout=SHUTDOWN_TIMEOUT.total_seconds(),
        )

    async def on_start(self) -> None:
        """Bind the socket and start to accept connections.

        Raises
        ------
        AddressTakenError
            If the address is in use, or is not one of this vm.
        """
        await self._runner.setup()
        host, _, port = self._address.rpartition(':')
        try:
            self._opened = socket.create_server((host, int(port)))
        except OSError as failure:
            log.error('address-taken', address=self._address)
            raise AddressTakenError(self._address) from failure
        await web.SockSite(self._runner, self._opened).start()

    async def on_stop(self) -> None:
        """Close the socket and wait for calls in flight, for up to 60 s.

        Connections stay open for `CROSSING_TIME`, so that requests which were
        sent before their callers could know of the stop are answered.
        """
        if self._opened is not None:
            await stop_accepting(self._runner, self._opened)
        await asyncio.sleep(CROSSING_TIME.total_seconds())
        await self._runner.cleanup()
