"""Connections: their number, slow ones, and requests that can't be read."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, cast

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from baobabhinge_gateway.callers.problems import ProblemRenderer
from baobabhinge_gateway.errors import (
    CallError,
    HeadersTooLargeError,
    SlowRequestError,
    TooManyConnectionsError,
)
from baobabhinge_gateway.errors.http import build_http_error

MAX_CONNECTIONS = 4096
HEADER_PATIENCE = timedelta(seconds=10)


class GuardedServer(web.Server):
    """The connections of one address.

    Parameters
    ----------
    problems : ProblemRenderer
        Describes refusals, also of what never becomes a request.
    answer : callable
        Answers requests.
    **kwargs
        As of `aiohttp.web.Server`.
    """

    def __init__(
        self,
        problems: ProblemRenderer,
        answer: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        **kwargs: Any,
    ) -> None:
        """Keep the parts; no connection is made."""
        super().__init__(answer, **kwargs)
        self.problems = problems

    def __call__(self) -> web.RequestHandler:
        """Return the handler of one connection."""
        return GuardedConnection(self, loop=self._loop, **self._kwargs)


class GuardedConnection(web.RequestHandler):
    """A connection that is refused or ended with problem details."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse one connection too many, and wait for its first request."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        loop.call_later(HEADER_PATIENCE.total_seconds(), self._check_arrival)
        if len(self._server.connections) > MAX_CONNECTIONS:
            self._end(TooManyConnectionsError('too many open connections'))

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that can't be read; log none of its text."""
        error = build_http_error(HTTPStatus(status))
        if isinstance(exc, LineTooLong):
            error = HeadersTooLargeError('the line or a header is too long')
        self._end(error)
        return web.Response(status=error.status)

    @property
    def _server(self) -> GuardedServer:
        return cast(GuardedServer, self._manager)

    def _check_arrival(self) -> None:
        if not self._request_count:
            self._end(SlowRequestError('no request arrived in time'))

    def _end(self, error: CallError) -> None:
        if self.transport is not None and not self.transport.is_closing():
            answer = self._server.problems.refuse_connection(error)
            self.transport.write(answer)
            self.transport.close()
