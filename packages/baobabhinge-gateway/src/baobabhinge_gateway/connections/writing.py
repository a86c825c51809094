"""Writing of answers at the pace at which clients read them."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial

from aiohttp import web

from baobabhinge_gateway.connections.limits import MAX_WRITE_WAIT, PIECE_BYTES
from baobabhinge_gateway.forwarding.memory_budget import (
    AnswerMemoryError,
    MemoryUse,
)

MILLISECOND = timedelta(milliseconds=1)


class AnswerWriter:
    """Write the answer to one request in pieces that the connection takes.

    Parameters
    ----------
    request : BaseRequest
        Request that is answered.
    memory : MemoryUse
        What the request holds; it is given back if the client is given up.
    """

    __slots__ = ('_memory', '_request')

    def __init__(self, request: web.BaseRequest, memory: MemoryUse) -> None:
        """Write nothing yet."""
        self._request = request
        self._memory = memory

    def is_clear(self, length: int) -> bool:
        """Return whether ``length`` bytes can be written without a wait."""
        transport = self._request.transport
        is_idle = transport is None or not transport.get_write_buffer_size()
        return is_idle and length <= PIECE_BYTES

    async def write(self, response: web.StreamResponse, chunk: bytes) -> None:
        """Write bytes that the request holds; wait until they are taken.

        Raises
        ------
        ConnectionError
            If the client has left, or was given up.
        """
        if self.is_clear(len(chunk)):
            await response.write(chunk)
        else:
            await self._write_pieces(response, chunk)
        # The library would wait on its own after some pieces.
        self._request.writer.buffer_size = 0

    async def write_part(
        self, response: web.StreamResponse, chunk: bytes
    ) -> None:
        """Write a part of a stream, which is held until it is taken.

        Raises
        ------
        ConnectionError
            If the client has left, or there is no room for what it leaves
            unread.
        """
        if self.is_clear(len(chunk)):
            await self.write(response, chunk)
            return
        remote = self._request.remote
        reader = f'reader {remote}'
        try:
            self._memory.add_answer(reader, len(chunk))
        except AnswerMemoryError as full:
            abort(self._request)
            raise ConnectionResetError('the client reads slowly') from full
        await self.write(response, chunk)
        self._memory.release(reader)

    async def finish(self, response: web.StreamResponse, length: int) -> None:
        """Write the end of an answer, or all of it if it is complete.

        Raises
        ------
        ConnectionError
            If the client has left, or was given up.
        """
        if self.is_clear(length):
            await response.write_eof()
            return
        async with wait_for_client(self._request, self._memory):
            await response.write_eof()

    async def _write_pieces(
        self, response: web.StreamResponse, chunk: bytes
    ) -> None:
        view = memoryview(chunk)
        writer = self._request.writer
        for start in range(0, len(chunk), PIECE_BYTES):
            end = start + PIECE_BYTES
            writer.buffer_size = 0
            async with wait_for_client(self._request, self._memory):
                await response.write(view[start:end])
                await writer.drain()


def abort(request: web.BaseRequest) -> None:
    """Abort the connection, so that a partial answer looks incomplete."""
    if request.transport is not None:
        request.transport.abort()


@asynccontextmanager
async def wait_for_client(
    request: web.BaseRequest, memory: MemoryUse
) -> AsyncIterator[None]:
    """Bound the time without progress; the client may be given up.

    Parameters
    ----------
    request : BaseRequest
        Request whose answer is written in the context.
    memory : MemoryUse
        What the request holds.

    Raises
    ------
    ConnectionResetError
        If the client took too little for `MAX_WRITE_WAIT`.
    """
    _allow_closed_window(request)
    bound = asyncio.timeout(MAX_WRITE_WAIT.total_seconds())
    with memory.hold_wait(partial(abort, request)):
        try:
            async with bound:
                yield
        except TimeoutError as stalled:
            if not bound.expired():
                raise
            abort(request)
            raise ConnectionResetError('the client does not read') from stalled


def _allow_closed_window(request: web.BaseRequest) -> None:
    """Let the client take some time to read what the kernel has sent.

    The kernel resets a connection whose peer acknowledges no more bytes for
    `TCP_USER_TIMEOUT`, also if that peer only reads slowly.
    """
    transport = request.transport
    opened = transport and transport.get_extra_info('socket')
    if opened:
        opened.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            MAX_WRITE_WAIT // MILLISECOND,
        )
