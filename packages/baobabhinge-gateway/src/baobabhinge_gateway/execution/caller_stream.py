"""Streamed responses to callers, within limits of time and memory."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_gateway.backends import ExchangeAnswer
from baobabhinge_gateway.backends.event_splitting import EVENT_SEPARATOR
from baobabhinge_gateway.backends.stream_events import ERROR_PREFIX
from baobabhinge_gateway.calls.headers import REQUEST_ID
from baobabhinge_gateway.errors import CallerLostError, CallError
from baobabhinge_gateway.errors.problem import build_problem

WRITE_TIMEOUT = timedelta(seconds=10)
UNTIMED_WRITE_BYTES = 32_768


class CallerStream:
    """Streamed response to one caller.

    Nothing is read from the backend server while a write waits, so a slow
    caller occupies no more memory than the socket buffers of both sides.

    Parameters
    ----------
    request : web.Request
        HTTP request of the caller.
    request_id : str
        Identifier of the call.

    Attributes
    ----------
    response : web.StreamResponse or None
        Response once it has started, else None.
    """

    __slots__ = ('_request', '_request_id', 'response')

    def __init__(self, request: web.Request, request_id: str) -> None:
        """Create the stream without starting the response."""
        self._request = request
        self._request_id = request_id
        self.response: web.StreamResponse | None = None

    async def start(self, answer: ExchangeAnswer) -> web.StreamResponse:
        """Write status and headers on the first call, and return the response.

        Raises
        ------
        CallerLostError
            If the caller disconnected, or did not read within `WRITE_TIMEOUT`.
        """
        if self.response is None:
            self.response = web.StreamResponse(status=answer.status)
            copy_headers(answer, self.response)
            self.response.headers[REQUEST_ID] = self._request_id
            await self._await_write(
                _apply_write_timeout(self.response.prepare(self._request))
            )
        return self.response

    async def write(self, response: web.StreamResponse, frame: bytes) -> None:
        """Write one event of the answer.

        Raises
        ------
        CallerLostError
            If the caller disconnected, or did not read within `WRITE_TIMEOUT`.
        """
        step = response.write(frame)
        if not _has_room(self._request.transport, frame):
            step = _apply_write_timeout(step)
        await self._await_write(step)

    async def end(self, response: web.StreamResponse) -> None:
        """Write the end of the body.

        Raises
        ------
        CallerLostError
            If the caller disconnected, or did not read within `WRITE_TIMEOUT`.
        """
        await self._await_write(_apply_write_timeout(response.write_eof()))

    async def end_with_error(
        self,
        response: web.StreamResponse,
        failure: CallError,
    ) -> None:
        """Write an error event, and close without the end of the body."""
        problem = build_problem(failure, self._request_id)
        frame = ERROR_PREFIX + msgspec.json.encode(problem) + EVENT_SEPARATOR
        await self.write(response, frame)
        if self._request.transport is not None:
            self._request.transport.close()

    async def _await_write(self, step: Awaitable[object]) -> None:
        """Await one write and convert its connection errors.

        A lost caller must not count as a failure of the engine, because the
        call would then run again.
        """
        try:
            await step
        except (ConnectionError, TimeoutError) as lost:
            self._abort()
            raise CallerLostError(
                'caller disconnected or did not read in time',
            ) from lost

    def _abort(self) -> None:
        if self._request.transport is not None:
            self._request.transport.abort()


def copy_headers(answer: ExchangeAnswer, response: web.StreamResponse) -> None:
    """Copy the headers of ``answer``, including repeated ones."""
    for name, text in answer.headers:
        response.headers.add(name, text)


async def _apply_write_timeout(step: Awaitable[object]) -> None:
    async with asyncio.timeout(WRITE_TIMEOUT.total_seconds()):
        await step


def _has_room(transport: asyncio.Transport | None, frame: bytes) -> bool:
    """Return whether ``frame`` can be written without waiting.

    True if the write buffer of the transport is empty and ``frame`` stays
    below its high-water mark. Such a write needs no timer.
    """
    if transport is None or transport.get_write_buffer_size():
        return False
    return len(frame) < UNTIMED_WRITE_BYTES
