"""Bytes of one connection in one direction."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.links.direction import Direction

CHUNK_BYTES = 16_384
MAX_CHUNKS = 1024
MAX_BACKLOG = timedelta(milliseconds=50)


class PassageResetError(Exception):
    """The connection ends with a reset in both directions."""


class _Delivery(msgspec.Struct, frozen=True):
    arrives: timedelta
    chunk: bytes
    is_broken: bool = False


class Passage:
    """Carry bytes from a reader to a writer.

    Parameters
    ----------
    direction : Direction
        How they are carried.
    clock : Clock
        Clock of the delays.
    before_end : callable, optional
        Awaited when the reader has ended, before the writer learns of it.
    """

    __slots__ = ('_before_end', '_clock', '_direction', '_queue')

    def __init__(
        self,
        direction: Direction,
        clock: Clock,
        before_end: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Start with nothing on its way."""
        self._direction = direction
        self._clock = clock
        self._before_end = before_end
        self._queue: asyncio.Queue[_Delivery] = asyncio.Queue(MAX_CHUNKS)

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Carry every byte, then the end of the stream.

        Raises
        ------
        PassageResetError
            If either side or a fault resets the connection.
        """
        taking = asyncio.create_task(self._take_all(reader))
        try:
            await self._deliver_all(writer)
        except ConnectionError as gone:
            raise PassageResetError from gone
        finally:
            taking.cancel()

    async def _take_all(self, reader: asyncio.StreamReader) -> None:
        chunk = b'-'
        while chunk:
            try:
                chunk = await reader.read(CHUNK_BYTES)
            except ConnectionError:
                await self._enqueue(b'', is_broken=True)
                return
            await self._enqueue(chunk, is_broken=False)

    async def _enqueue(self, chunk: bytes, *, is_broken: bool) -> None:
        if self._before_end is not None and not chunk:
            await self._before_end()
        left = self._direction.send(len(chunk))
        arrives = left + self._direction.delay
        await self._queue.put(_Delivery(arrives, chunk, is_broken))
        await self._sleep_until(left - MAX_BACKLOG)

    async def _deliver_all(self, writer: asyncio.StreamWriter) -> None:
        while True:
            delivery = await self._queue.get()
            await self._sleep_until(delivery.arrives)
            await self._direction.wait_open()
            if delivery.is_broken:
                raise PassageResetError
            if not delivery.chunk:
                writer.write_eof()
                return
            await self._deliver(writer, delivery.chunk)

    async def _deliver(
        self,
        writer: asyncio.StreamWriter,
        chunk: bytes,
    ) -> None:
        arrived = self._direction.take(chunk)
        writer.write(arrived)
        await writer.drain()
        if len(arrived) < len(chunk):
            raise PassageResetError

    async def _sleep_until(self, instant: timedelta) -> None:
        rest = instant - self._clock.read_monotonic()
        if rest > timedelta():
            await asyncio.sleep(rest.total_seconds())
