"""One direction of a link."""

import asyncio
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.links.bandwidth import Bandwidth
from baobabhinge_standins.links.messages import Impairment


class Direction:
    """Delay, bandwidth and present impairment of one direction.

    Parameters
    ----------
    clock : Clock
        Clock of the delays.
    latency : timedelta
        One-way latency without a fault.
    shared : Bandwidth
        Line shared with other links.

    Attributes
    ----------
    passed_bytes : int
        Bytes delivered so far.
    """

    __slots__ = (
        '_clock',
        '_impairment',
        '_latency',
        '_open',
        '_own',
        '_shared',
        'passed_bytes',
    )

    def __init__(
        self,
        clock: Clock,
        latency: timedelta,
        shared: Bandwidth,
    ) -> None:
        """Start healthy."""
        self._clock = clock
        self._latency = latency
        self._shared = shared
        self.passed_bytes = 0
        self._open = asyncio.Event()
        self.apply(Impairment())

    @property
    def delay(self) -> timedelta:
        """Return the present one-way delay."""
        added = timedelta(milliseconds=self._impairment.delay_ms)
        return self._latency + added

    def apply(self, impairment: Impairment) -> None:
        """Set the impairment, in place of the present one."""
        self._impairment = impairment
        self._own = Bandwidth(impairment.bits_per_second)
        if impairment.is_cut:
            self._open.clear()
        else:
            self._open.set()

    def send(self, size: int) -> timedelta:
        """Return the time at which ``size`` bytes given now have left."""
        now = self._clock.read_monotonic()
        own = self._own.send(now, size)
        shared = self._shared.send(now, size)
        return max(own, shared)

    async def wait_open(self) -> None:
        """Wait while this direction is cut."""
        await self._open.wait()

    def take(self, chunk: bytes) -> bytes:
        """Return the part of ``chunk`` that arrives before a reset."""
        limit = self._impairment.reset_after_bytes
        arrived = chunk[:limit]
        self.passed_bytes += len(arrived)
        if limit is not None:
            self._shrink_limit(limit, len(chunk))
        return arrived

    def _shrink_limit(self, limit: int, size: int) -> None:
        rest = limit - size
        self._impairment = msgspec.structs.replace(
            self._impairment,
            reset_after_bytes=None if rest < 0 else rest,
        )
