"""Limits on connections, and refusals of requests that can't be parsed."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any, cast

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from baobabhinge_gateway.callers.problems import ProblemRenderer
from baobabhinge_gateway.connections.closing import (
    WatchedConnection,
    is_closed_by_peer,
)
from baobabhinge_gateway.errors import (
    CallError,
    HeadersTooLargeError,
    SlowRequestError,
    TooManyConnectionsError,
)
from baobabhinge_gateway.errors.http import build_http_error

MAX_CONNECTIONS = 4096
FIRST_REQUEST_TIMEOUT = timedelta(seconds=10)


class GuardedServer(web.Server):
    """Server of the connections at one address.

    Parameters
    ----------
    problems : ProblemRenderer
        Renders refusals, including those of bytes that can't be parsed.
    handle_request : callable
        Handler of requests.
    **kwargs
        Arguments of `aiohttp.web.Server`.
    """

    def __init__(
        self,
        problems: ProblemRenderer,
        handle_request: Callable[
            [web.BaseRequest], Awaitable[web.StreamResponse]
        ],
        **kwargs: Any,
    ) -> None:
        """Start without connections."""
        super().__init__(self._handle_awaited, **kwargs)
        self.problems = problems
        self._handle_request = handle_request

    def __call__(self) -> web.RequestHandler:
        """Return the handler of one connection."""
        return GuardedConnection(self, loop=self._loop, **self._kwargs)

    async def _handle_awaited(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle a request unless its caller has left; no answer reaches it."""
        if is_closed_by_peer(request.transport):
            return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return await self._handle_request(request)


class GuardedConnection(WatchedConnection):
    """Connection whose refusals are problem details."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Refuse a connection over the limit; bound the first request.

        A connection without a complete request head after
        `FIRST_REQUEST_TIMEOUT` is refused and closed.
        """
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        loop.call_later(
            FIRST_REQUEST_TIMEOUT.total_seconds(), self._check_first_request
        )
        if len(self._server.connections) > MAX_CONNECTIONS:
            self._refuse_and_close(
                TooManyConnectionsError(
                    'the limit of open connections is reached'
                )
            )

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Refuse a request that can't be parsed; log none of its text."""
        error = build_http_error(HTTPStatus(status))
        if isinstance(exc, LineTooLong):
            error = HeadersTooLargeError(
                'the request line or a header is too long'
            )
        self._refuse_and_close(error)
        return web.Response(status=error.status)

    @property
    def _server(self) -> GuardedServer:
        return cast(GuardedServer, self._manager)

    def _check_first_request(self) -> None:
        if not self._request_count:
            self._refuse_and_close(
                SlowRequestError(
                    'no request head arrived within the first-request timeout'
                )
            )

    def _refuse_and_close(self, error: CallError) -> None:
        if self.transport is not None and not self.transport.is_closing():
            refusal = self._server.problems.render_connection_refusal(error)
            self.transport.write(refusal)
            self.transport.close()
