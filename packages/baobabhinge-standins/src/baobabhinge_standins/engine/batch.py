"""Timing of a batching engine: prefill, decoding and a prefix cache."""

import asyncio
from collections import OrderedDict
from datetime import timedelta

import msgspec

PREFIX_BLOCK_CHARS = 64


class EngineSpeed(msgspec.Struct, frozen=True):
    """Speed of one engine.

    Parameters
    ----------
    slots : int
        Requests decoded at once.
    prefill_per_char : timedelta
        Prefill time of one character that is not cached.
    decode_step : timedelta
        Time between two tokens of an idle engine.
    slowdown : float
        Growth of the decode step with a full batch, as a fraction.
    cached_blocks : int
        Prefix blocks that the cache holds.
    """

    slots: int = 8
    prefill_per_char: timedelta = timedelta(microseconds=50)
    decode_step: timedelta = timedelta(milliseconds=10)
    slowdown: float = 0.5
    cached_blocks: int = 512


class Batch:
    """Slots of one engine and the prefixes it has cached."""

    __slots__ = ('_cache', '_slots', '_speed', 'running', 'waiting')

    def __init__(self, speed: EngineSpeed) -> None:
        """Start idle with a cold cache."""
        self._speed = speed
        self._slots = asyncio.Semaphore(speed.slots)
        self._cache: OrderedDict[str, None] = OrderedDict()
        self.running = 0
        self.waiting = 0

    async def enter(self, prompt: str) -> None:
        """Wait for a slot and prefill the prompt."""
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self._prefill(prompt)
        except asyncio.CancelledError:
            self.leave()
            raise

    def leave(self) -> None:
        """Give the slot back."""
        self.running -= 1
        self._slots.release()

    async def step(self) -> None:
        """Wait for the next token."""
        fill = self.running / self._speed.slots
        step = self._speed.decode_step * (1 + self._speed.slowdown * fill)
        await asyncio.sleep(step.total_seconds())

    async def _prefill(self, prompt: str) -> None:
        cold = sum(not self._touch(block) for block in _list_blocks(prompt))
        cost = self._speed.prefill_per_char * (cold * PREFIX_BLOCK_CHARS)
        await asyncio.sleep(cost.total_seconds())

    def _touch(self, block: str) -> bool:
        known = block in self._cache
        self._cache[block] = None
        self._cache.move_to_end(block)
        if len(self._cache) > self._speed.cached_blocks:
            self._cache.popitem(last=False)
        return known


def _list_blocks(prompt: str) -> list[str]:
    ends = range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS)
    return [prompt[:end] for end in ends]
