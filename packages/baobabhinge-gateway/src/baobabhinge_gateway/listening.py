"""Listening sockets as services."""

from datetime import timedelta

from aiohttp import web
from mode import Service

from baobabhinge_gateway.callers.connections import GuardedRunner

STOP_PATIENCE = timedelta(seconds=60)


class Listener(Service):
    """Serve one application at one address.

    Parameters
    ----------
    app : web.Application
        What is served.
    address : str
        ``host:port`` to listen at.
    """

    def __init__(self, app: web.Application, address: str) -> None:
        """Listen nowhere yet."""
        super().__init__()
        self._address = address
        self._runner = GuardedRunner(
            app,
            shutdown_timeout=STOP_PATIENCE.total_seconds(),
        )

    async def on_start(self) -> None:
        """Bind the socket."""
        await self._runner.setup()
        host, _, port = self._address.rpartition(':')
        await web.TCPSite(self._runner, host, int(port)).start()

    async def on_stop(self) -> None:
        """Close the socket, then wait for the calls in flight."""
        await self._runner.cleanup()
