"""Answers to HTTP requests, written to their connections."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web

from baobabhinge_gateway.connections.writing import AnswerWriter, abort
from baobabhinge_gateway.forwarding.call import Headers
from baobabhinge_gateway.forwarding.memory_budget import MemoryUse
from baobabhinge_gateway.lifecycle import Lifecycle

# Raised in the handler of a request whose connection has ended.
CONNECTION_ENDED = (asyncio.CancelledError, ConnectionError)

HeaderExtender = Callable[[int, Headers], Headers]


def keep_headers(status: int, headers: Headers) -> Headers:
    """Return the headers of an answer unchanged."""
    return headers


class HttpResponder:
    """Answer to one request of a caller or another gateway.

    Parameters
    ----------
    request : web.BaseRequest
        Request to answer.
    lifecycle : Lifecycle, optional
        Tells whether the connection is closed after the answer, as the process
        is draining.
    extend_headers : callable, optional
        Returns the headers to send for the status and headers of an answer.
    memory : MemoryUse
        What the request holds.

    Attributes
    ----------
    has_started : bool
        Whether the head of an answer has been sent.
    response : web.StreamResponse
        Answer that was started; before that, an empty one with status 500.
    """

    __slots__ = (
        '_extend_headers',
        '_lifecycle',
        '_request',
        '_writer',
        'has_started',
        'response',
    )

    def __init__(
        self,
        request: web.BaseRequest,
        memory: MemoryUse,
        *,
        lifecycle: Lifecycle | None = None,
        extend_headers: HeaderExtender = keep_headers,
    ) -> None:
        """Prepare an answer; nothing is sent."""
        self._request = request
        self._writer = AnswerWriter(request, memory)
        self._lifecycle = lifecycle
        self._extend_headers = extend_headers
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
        """Send a complete answer."""
        if self._writer.is_clear(len(body)) or self._request.method == 'HEAD':
            answer = web.Response(status=status, body=body)
            await self._send_head(answer, headers)
            await self._writer.finish(answer, len(body))
            return
        long_answer = web.StreamResponse(status=status)
        long_answer.content_length = len(body)
        await self._send_head(long_answer, headers)
        await self._writer.write(long_answer, body)
        await self._writer.finish(long_answer, 0)

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream."""
        await self._send_head(web.StreamResponse(status=status), headers)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of a stream."""
        await self._writer.write_part(self.response, chunk)

    async def finish(self) -> None:
        """End a stream that is complete."""
        await self._writer.finish(self.response, 0)

    def abort(self) -> None:
        """Abort the connection, so that a partial answer looks incomplete."""
        abort(self._request)

    async def _send_head(
        self,
        response: web.StreamResponse,
        headers: Headers,
    ) -> None:
        for name, text in self._extend_headers(response.status, headers):
            response.headers.add(name, text)
        if self._lifecycle is not None and self._lifecycle.is_draining:
            response.force_close()
        self.response = response
        self.has_started = True
        await response.prepare(self._request)
