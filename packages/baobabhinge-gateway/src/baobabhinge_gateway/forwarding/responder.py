"""Answers written to the connection of a request."""

from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from baobabhinge_gateway.forwarding.call import Headers

CompleteHeaders = Callable[[int, Headers], Headers]


def keep_headers(status: int, headers: Headers) -> Headers:
    """Return the headers of an answer as they are."""
    return headers


class HttpResponder:
    """Way back to whoever sent a request.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    is_last : bool, optional
        Whether the connection is to be closed after the answer.
    complete : callable, optional
        Returns the headers to send, given the status and those of the answer.

    Attributes
    ----------
    has_started : bool
        Whether the head of an answer was sent.
    response : web.StreamResponse
        The answer; an error until one was started.
    """

    __slots__ = (
        '_complete',
        '_is_last',
        '_request',
        'has_started',
        'response',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        is_last: bool = False,
        complete: CompleteHeaders = keep_headers,
    ) -> None:
        """Send nothing yet."""
        self._request = request
        self._is_last = is_last
        self._complete = complete
        self.response = web.StreamResponse(
            status=HTTPStatus.INTERNAL_SERVER_ERROR,
        )
        self.has_started = False

    async def send_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        whole = web.Response(status=status, body=body)
        await self._send_head(whole, headers)
        await whole.write_eof()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream."""
        await self._send_head(web.StreamResponse(status=status), headers)

    async def write(self, piece: bytes) -> None:
        """Send a piece of a stream."""
        await self.response.write(piece)

    async def finish(self) -> None:
        """End a stream as complete."""
        await self.response.write_eof()

    def abort(self) -> None:
        """Break the connection, so that the answer can't look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send_head(
        self,
        response: web.StreamResponse,
        headers: Headers,
    ) -> None:
        for name, text in self._complete(response.status, headers):
            response.headers.add(name, text)
        if self._is_last:
            response.force_close()
        self.response = response
        self.has_started = True
        await response.prepare(self._request)
