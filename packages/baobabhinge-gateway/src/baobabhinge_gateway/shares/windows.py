"""Sums of the work of the latest second at this gateway."""

from collections import deque
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.shares.sums import NO_WORK, Work, WorkSums

STEP = timedelta(milliseconds=250)
# One second. With two, what was placed swung more in the replay: 0.86 to 0.91
# of the capacity was used at twice the demand, and 0.93 to 0.95 with one.
STEPS = 4


class _Step(msgspec.Struct):
    number: int
    sums: dict[int, Work]


class WindowedSums:
    """Sums of the work of one service at this gateway.

    Parameters
    ----------
    clock : Clock
        Clock of the calls.
    """

    __slots__ = ('_clock', '_steps', '_total')

    def __init__(self, clock: Clock) -> None:
        """Start without work."""
        self._clock = clock
        self._steps: deque[_Step] = deque()
        self._total: dict[int, Work] = {}

    def add(self, entries: Iterable[int], work: Work) -> None:
        """Add work to several entries."""
        now = self._expire()
        if not self._steps or self._steps[-1].number != now:
            self._steps.append(_Step(now, {}))
        step = self._steps[-1].sums
        for entry in entries:
            step[entry] = step.get(entry, NO_WORK).add(work)
            self._total[entry] = self._total.get(entry, NO_WORK).add(work)

    def read(self) -> WorkSums:
        """Return the sums of the latest steps."""
        self._expire()
        return self._total

    def _expire(self) -> int:
        now = self._clock.read_monotonic() // STEP
        while self._steps and self._steps[0].number <= now - STEPS:
            self._subtract(self._steps.popleft().sums)
        return now

    def _subtract(self, sums: WorkSums) -> None:
        for entry, work in sums.items():
            left = self._total[entry].add(work, -1)
            if left == NO_WORK:
                self._total.pop(entry)
            else:
                self._total[entry] = left
