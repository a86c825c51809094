"""HTTP server that bounds the connections of its clients."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import msgspec
import structlog
from aiohttp import web

from baobabhinge_gateway.connections.connection import (
    BoundedConnection,
    bound_writes,
)
from baobabhinge_gateway.connections.limits import (
    MIN_WAIT,
    READ_BUFFER_BYTES,
    ConnectionLimits,
)
from baobabhinge_gateway.connections.waits import ClientWaits
from baobabhinge_gateway.deployment import RequestLimits

AnswerRequest = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = structlog.get_logger(__name__)


class ListenerBounds(msgspec.Struct, frozen=True):
    """Bounds on the clients of one listener.

    Parameters
    ----------
    limits : ConnectionLimits
        How many connections there may be.
    waits : ClientWaits
        Requests and answers that wait for their clients.
    read_limits : callable
        Returns the limits of the configuration in force.
    """

    limits: ConnectionLimits
    waits: ClientWaits
    read_limits: Callable[[], RequestLimits]


class BoundedServer(web.Server):
    """Server that has a bounded number of connections.

    Beyond it, the connection that is idle longest is closed, then the one
    whose client made no progress for longest; if there is none, the new one.

    Parameters
    ----------
    answer : callable
        Coroutine function that answers a request.
    bounds : ListenerBounds
        Bounds on the clients.
    options
        Further parameters of `web.Server`.
    """

    def __init__(
        self,
        answer: AnswerRequest,
        bounds: ListenerBounds,
        **options: Any,
    ) -> None:
        """Start without connections."""
        super().__init__(self._answer_bounded, **options)
        self._answer = answer
        self._options = {**options, 'read_bufsize': READ_BUFFER_BYTES}
        self._options.pop('handler_cancellation', None)
        self._bounds = bounds
        self._open: set[BoundedConnection] = set()
        self._busy_count = 0

    def __call__(self) -> BoundedConnection:
        """Return the protocol of a new connection."""
        return BoundedConnection(self, loop=self._loop, **self._options)

    def connection_made(
        self, connection: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Count a connection, and refuse it if there is no room."""
        super().connection_made(connection, transport)
        bound_writes(connection)
        if isinstance(connection, BoundedConnection):
            self._open.add(connection)
            if not self._make_room(connection):
                log.warning('connection-refused', open=len(self._open))
                transport.abort()

    def connection_lost(
        self, connection: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Count a connection no more."""
        super().connection_lost(connection, exc)
        if isinstance(connection, BoundedConnection):
            self._open.discard(connection)

    def close_overdue(self) -> None:
        """Close connections that are idle, or lack a head, for too long."""
        now = self._loop.time()
        limits = self._bounds.read_limits()
        for connection in tuple(self._open):
            if connection.is_overdue(now, limits):
                connection.force_close()

    async def _answer_bounded(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answer a request, which needs a connection to a server as well."""
        connection = request.protocol
        if not isinstance(connection, BoundedConnection):
            return await self._answer(request)
        connection.begin(request)
        self._busy_count += 1
        try:
            if self._make_room(connection):
                return await self._answer(request)
        finally:
            self._busy_count -= 1
            connection.end()
        log.warning('request-refused', open=len(self._open))
        return _build_refusal()

    def _make_room(self, new: BoundedConnection) -> bool:
        """Return whether there is room for a connection or request."""
        if (
            len(self._open) + self._busy_count
            <= self._bounds.limits.descriptors
        ):
            return True
        latest = self._loop.time() - MIN_WAIT.total_seconds()
        idle = [
            one
            for one in self._open
            if one.request is None and one.since < latest and one is not new
        ]
        if not idle:
            return self._bounds.waits.relieve()
        oldest = min(idle, key=_read_since)
        # It is counted no more from now on, though it ends later.
        self._open.discard(oldest)
        oldest.force_close()
        return True


def _build_refusal() -> web.Response:
    """Return the answer to a request for which there is no descriptor."""
    refusal = web.Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE, headers={'Retry-After': '1'}
    )
    refusal.force_close()
    return refusal


def _read_since(connection: BoundedConnection) -> float:
    return connection.since
