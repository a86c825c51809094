"""Listening sockets of the forwarding gateway."""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from http import HTTPStatus

import structlog
from aiohttp import web
from mode import Service

from baobabhinge_gateway.errors import AddressTakenError
from baobabhinge_gateway.forwarding.sockets import listen

AnswerRequest = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Above the idle time of every configuration seen; callers reuse a connection
# after up to four fifths of the limit in force.
IDLE_TIMEOUT = timedelta(seconds=60)
MAX_HEAD_BYTES = 16384
# What is still open at the end of a process had the whole grace period.
SHUTDOWN_TIMEOUT = timedelta(milliseconds=100)

log = structlog.get_logger(__name__)


class HttpListener(Service):
    """Serve one address.

    Parameters
    ----------
    address : str
        ``host:port``.
    answer : callable
        Answers requests.
    """

    def __init__(self, address: str, answer: AnswerRequest) -> None:
        """Listen nowhere yet."""
        super().__init__()
        self._address = address
        self._answer = answer
        self._busy: set[web.RequestHandler] = set()
        self._server = web.Server(
            self._answer_counted,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=IDLE_TIMEOUT.total_seconds(),
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            auto_decompress=False,
        )
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
            opened = listen(host, int(port))
        except OSError as failure:
            log.error('address-taken', address=self._address)
            raise AddressTakenError(self._address) from failure
        await web.SockSite(self._runner, opened).start()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being answered."""
        return bool(self._busy)

    @property
    def connections(self) -> Sequence[web.RequestHandler]:
        """Open connections."""
        return tuple(self._server.connections)

    async def stop_accepting(self) -> None:
        """Take no new connection, end unused ones, finish running answers.

        `web.Server.pre_shutdown` leaves idle connections open with nobody to
        read them, so each is closed here.
        """
        for site in tuple(self._runner.sites):
            await site.stop()
        for connection in self.connections:
            if connection in self._busy:
                connection.close()
            else:
                connection.force_close()

    async def on_stop(self) -> None:
        """Close the socket and all connections."""
        await self._runner.cleanup()

    async def _answer_counted(
        self,
        request: web.BaseRequest,
    ) -> web.StreamResponse:
        connection = request.protocol
        if request.transport is None:
            # It crossed the close of its connection: nobody hears an answer.
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        self._busy.add(connection)
        try:
            return await self._answer(request)
        finally:
            self._busy.discard(connection)
