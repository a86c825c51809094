"""Listening sockets as services."""

from datetime import timedelta

import structlog
from aiohttp import web
from mode import Service

from baobabhinge_gateway.callers.runner import GuardedRunner
from baobabhinge_gateway.errors import AddressTakenError

log = structlog.get_logger(__name__)

SHUTDOWN_TIMEOUT = timedelta(seconds=60)


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
            shutdown_timeout=SHUTDOWN_TIMEOUT.total_seconds(),
        )

    async def on_start(self) -> None:
        """Bind the socket.

        Raises
        ------
        AddressTakenError
            If the address is in use, or is not one of this vm.
        """
        await self._runner.setup()
        host, _, port = self._address.rpartition(':')
        try:
            await web.TCPSite(self._runner, host, int(port)).start()
        except OSError as failure:
            log.error('address-taken', address=self._address)
            raise AddressTakenError(self._address) from failure

    async def on_stop(self) -> None:
        """Close the socket, then wait for the calls in flight."""
        await self._runner.cleanup()
