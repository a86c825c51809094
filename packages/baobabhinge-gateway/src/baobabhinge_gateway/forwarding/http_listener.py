"""HTTP listener that can drain its connections."""

import socket
from collections.abc import Sequence
from datetime import timedelta
from http import HTTPStatus

import structlog
from aiohttp import web
from mode import Service

from baobabhinge_gateway.accepting import stop_accepting
from baobabhinge_gateway.connections.building import (
    AnswerRequest,
    ListenerBounds,
    build_server,
    watch_connections,
)
from baobabhinge_gateway.errors import AddressTakenError
from baobabhinge_gateway.forwarding.connection_use import ConnectionUse
from baobabhinge_gateway.forwarding.sockets import BACKLOG, listen

# Connections accepted in one run of the event loop. A burst of connections
# would delay open streams otherwise; each costs about as much as a refusal.
ACCEPT_BATCH = 16
# Calls that are still open when the process ends had the whole grace period.
SHUTDOWN_TIMEOUT = timedelta(milliseconds=100)

log = structlog.get_logger(__name__)


class HttpListener(Service):
    """HTTP server on one address.

    Parameters
    ----------
    address : str
        ``host:port``.
    answer : callable
        Coroutine function that answers a request.
    bounds : ListenerBounds, optional
        Bounds on the clients; without them, they are trusted.
    """

    def __init__(
        self,
        address: str,
        answer: AnswerRequest,
        bounds: ListenerBounds | None = None,
    ) -> None:
        """Prepare the server; the socket is bound when the service starts."""
        super().__init__()
        self._address = address
        self._answer = answer
        self._opened: socket.socket | None = None
        self._is_closing = False
        self._use = ConnectionUse(lambda: self.connections)
        self._has_bounds = bounds is not None
        self._server = build_server(self._answer_tracked, bounds)
        self._runner = web.ServerRunner(
            self._server,
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
            self._opened = listen(
                host, int(port), has_small_buffers=self._has_bounds
            )
        except OSError as failure:
            log.error('address-taken', address=self._address)
            raise AddressTakenError(self._address) from failure
        site = web.SockSite(self._runner, self._opened, backlog=ACCEPT_BATCH)
        await site.start()
        # asyncio takes the batch for the length of the kernel's queue too.
        self._opened.listen(BACKLOG)
        self.add_future(watch_connections(self._server))

    @property
    def is_busy(self) -> bool:
        """Whether any request is being answered."""
        return bool(self._use.active)

    @property
    def connections(self) -> Sequence[web.RequestHandler]:
        """Open connections, idle ones included."""
        return tuple(self._server.connections)

    async def stop_accepting(self) -> None:
        """Accept no more connections, close idle ones, finish open answers.

        A connection that was accepted just now has some time for its request.
        One whose request is not whole is closed after the answer to it, as the
        rest would not be read.
        `web.Server.pre_shutdown` leaves idle connections open although nothing
        reads them, so each is closed here.
        """
        if self._opened is not None:
            await stop_accepting(self._runner, self._opened)
        await self._use.wait_for_first_requests()
        self._is_closing = True
        for connection in self.connections:
            request = self._use.active.get(connection)
            if request is None:
                connection.force_close()
            elif request.content.is_eof():
                connection.close()

    async def on_stop(self) -> None:
        """Close the socket and all connections."""
        await self._runner.cleanup()

    async def _answer_tracked(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        connection = request.protocol
        if request.transport is None or request.transport.is_closing():
            # The connection was closed while the request was on its way, so no
            # answer can reach the caller.
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        with self._use.hold(request):
            answer = await self._answer(request)
        if self._is_closing and request.content.is_eof():
            connection.close()
        return answer
