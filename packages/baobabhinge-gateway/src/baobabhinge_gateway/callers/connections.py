"""Connections: their number, slow ones, and requests that can't be read."""

import asyncio
from datetime import timedelta
from http import HTTPStatus
from typing import cast

import structlog
from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from baobabhinge_gateway.callers.serializing import serialize_error
from baobabhinge_gateway.calls.headers import create_request_id
from baobabhinge_gateway.errors import (
    CallError,
    HeadersTooLargeError,
    SlowRequestError,
    TooManyConnectionsError,
)
from baobabhinge_gateway.errors.http import describe_http_error

MAX_CONNECTIONS = 4096
HEADER_PATIENCE = timedelta(seconds=10)

log = structlog.get_logger(__name__)


class GuardedConnection(web.RequestHandler):
    """A connection that is refused or ended with problem details."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse one connection too many, and wait for its first request."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        loop.call_later(HEADER_PATIENCE.total_seconds(), self._check_arrival)
        manager = cast(web.Server, self._manager)
        if len(manager.connections) > MAX_CONNECTIONS:
            self._end(TooManyConnectionsError('too many open connections'))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be read; log none of its text."""
        error = describe_http_error(HTTPStatus(status))
        if isinstance(exc, LineTooLong):
            error = HeadersTooLargeError('the line or a header is too long')
        self._end(error)
        return web.Response(status=error.status)

    def _check_arrival(self) -> None:
        if not self._request_count:
            self._end(SlowRequestError('no request arrived in time'))

    def _end(self, error: CallError) -> None:
        if self.transport is not None and not self.transport.is_closing():
            request_id = create_request_id()
            log.info(
                'connection-refused',
                code=error.code,
                request_id=request_id,
            )
            self.transport.write(serialize_error(error, request_id))
            self.transport.close()
