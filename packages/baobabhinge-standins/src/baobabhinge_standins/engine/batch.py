"""Timing of a batching engine: queue, prefill and decoding."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from itertools import count

import msgspec

QueueEntry = tuple[int, int, 'asyncio.Future[None]']


class EngineSpeed(msgspec.Struct, frozen=True):
    """Speed of one engine.

    Parameters
    ----------
    slots : int
        Requests decoded at once.
    prefill_per_block : timedelta
        Prefill time of one block that is not cached.
    decode_step : timedelta
        Time between two tokens of an idle engine.
    slowdown : float
        Growth of the decode step with a full batch, as a fraction.
    cached_blocks : int
        Prefix blocks that the cache holds.
    """

    slots: int = 8
    prefill_per_block: timedelta = timedelta(microseconds=3200)
    decode_step: timedelta = timedelta(milliseconds=10)
    slowdown: float = 0.5
    cached_blocks: int = 512


class Batch:
    """Slots of one engine, given out by priority.

    Attributes
    ----------
    running, waiting : int
        Requests in the batch and in the queue.
    """

    __slots__ = ('_numbers', '_queue', '_speed', 'running', 'waiting')

    def __init__(self, speed: EngineSpeed) -> None:
        """Start idle."""
        self._speed = speed
        self._queue: list[QueueEntry] = []
        self._numbers = count()
        self.running = 0
        self.waiting = 0

    @asynccontextmanager
    async def hold_slot(self, priority: int) -> AsyncIterator[None]:
        """Wait for a slot, smaller priorities first, and give it back."""
        if self.running >= self._speed.slots:
            await self._wait_turn(priority)
        else:
            self.running += 1
        try:
            yield
        finally:
            self._pass_slot()

    @property
    def slots(self) -> int:
        """Return the number of requests decoded at once."""
        return self._speed.slots

    async def prefill(self, blocks: int, factor: float) -> None:
        """Take the time of prefilling ``blocks`` that are not cached."""
        cost = self._speed.prefill_per_block * blocks * factor
        await asyncio.sleep(cost.total_seconds())

    async def decode(self, factor: float) -> None:
        """Take the time of one token."""
        fill = self.running / self._speed.slots
        step = self._speed.decode_step * (1 + self._speed.slowdown * fill)
        await asyncio.sleep((step * factor).total_seconds())

    async def _wait_turn(self, priority: int) -> None:
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (priority, next(self._numbers), turn))
        self.waiting += 1
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._pass_slot()
            raise
        finally:
            self.waiting -= 1

    def _pass_slot(self) -> None:
        while self._queue:
            turn = heapq.heappop(self._queue)[-1]
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1
