"""Bounds on the bytes that an answer to an HTTP request may have."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

MAX_ANSWER_BYTES = 16 << 20
# Heads, interim answers, and the chunk sizes and trailers of a body.
MAX_FRAMING_BYTES = 1 << 16
FIRST_FINAL_STATUS = 200


class AnswerTooLongError(aiohttp.ClientPayloadError):
    """The bytes received are no answer, or one that is longer than allowed."""


class BoundedResponse(aiohttp.ClientResponse):
    """Answer whose complete body is read only up to `MAX_ANSWER_BYTES`."""

    async def read(self) -> bytes:
        """Return the complete body.

        Raises
        ------
        AnswerTooLongError
            If it exceeds `MAX_ANSWER_BYTES`.
        """
        if self._body is None:
            self._body = await read_bounded(self, ignore_length)
        return await super().read()


def ignore_length(length: int) -> None:
    """Accept bytes that were received."""


async def read_bounded(
    response: aiohttp.ClientResponse, accept: Callable[[int], None]
) -> bytes:
    """Return the complete body of an answer.

    The connection is closed if the body is not read to its end.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Answer whose body has not been read.
    accept : callable
        Called with the length of each chunk in bytes; may raise an error.

    Raises
    ------
    AnswerTooLongError
        If the body exceeds `MAX_ANSWER_BYTES`.
    """
    chunks = []
    length = 0
    try:
        async for chunk in response.content.iter_any():
            length += len(chunk)
            if length > MAX_ANSWER_BYTES:
                raise AnswerTooLongError(
                    f'the answer is longer than {MAX_ANSWER_BYTES} bytes'
                )
            accept(len(chunk))
            chunks.append(chunk)
    except BaseException:
        response.close()
        raise
    return b''.join(chunks)


class BoundedResponseHandler(ResponseHandler):
    """Connection that is closed when bytes arrive that belong to no answer.

    aiohttp bounds single lines and fields, but neither interim answers nor the
    extensions of chunks, and it keeps answers that nobody asked for.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without an answer."""
        super().__init__(loop)
        self._answers = 0
        self._received = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin to count for the next answer."""
        self._answers = 0
        self._received = 0
        super().set_response_params(**options)

    def feed_data(self, message: Any, size: int = 0) -> None:
        """Count the final answers."""
        if message[0].code >= FIRST_FINAL_STATUS:
            self._answers += 1
        super().feed_data(message, size)

    def data_received(self, received: bytes) -> None:
        """Parse bytes, and fail an answer with too many around its body."""
        super().data_received(received)
        self._received += len(received)
        payload = self._payload
        body_bytes = 0 if payload is None else payload.total_bytes
        # As much again as the body, for bodies in small chunks.
        if self._received > MAX_FRAMING_BYTES + 2 * body_bytes:
            self._fail(AnswerTooLongError('too many bytes outside the body'))
        elif self._answers > 1 and self.transport is not None:
            # The first answer is complete; it stays readable.
            self.force_close()
            self.transport.close()

    def _fail(self, failure: AnswerTooLongError) -> None:
        if self._payload is not None:
            set_exception(self._payload, failure)
        self.set_exception(failure)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Connection pool without a limit, whose connections bound answers."""

    def __init__(self, **options: Any) -> None:
        """Create the pool.

        Parameters
        ----------
        options
            Further parameters of `aiohttp.TCPConnector`.
        """
        super().__init__(limit=0, **options)
        self._factory = self.build_handler  # type: ignore[assignment]

    def build_handler(self) -> BoundedResponseHandler:
        """Return the protocol of a new connection."""
        return BoundedResponseHandler(loop=self._loop)
