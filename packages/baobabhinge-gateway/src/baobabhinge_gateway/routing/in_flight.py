"""Counts of calls in flight by vm, now and in the recent past."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

HISTORY_SPAN = timedelta(seconds=5)


class _Change(msgspec.Struct, frozen=True):
    instant: timedelta
    step: int


class InFlightCounter:
    """Count the calls that this gateway has in flight at each vm.

    Parameters
    ----------
    clock : Clock
        Clock for the times of the changes.
    """

    __slots__ = ('_changes', '_clock', '_counts')

    def __init__(self, clock: Clock) -> None:
        """Start with no call in flight."""
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._changes: defaultdict[str, deque[_Change]] = defaultdict(deque)

    def count(self, vm: str) -> int:
        """Return the number of calls in flight at ``vm``."""
        return self._counts[vm]

    def count_before(self, vm: str, age: timedelta) -> int:
        """Return how many calls were in flight at ``vm`` ``age`` ago.

        Changes older than `HISTORY_SPAN` are dropped, so that a greater age
        counts as about that span.
        """
        since = self._clock.read_monotonic() - age
        steps = [
            change.step
            for change in self._changes[vm]
            if change.instant > since
        ]
        return self._counts[vm] - sum(steps)

    @contextmanager
    def track(self, vm: str) -> Iterator[None]:
        """Count one call as in flight at ``vm`` within the context."""
        self._record(vm, 1)
        try:
            yield
        finally:
            self._record(vm, -1)

    def _record(self, vm: str, step: int) -> None:
        now = self._clock.read_monotonic()
        changes = self._changes[vm]
        changes.append(_Change(now, step))
        while changes[0].instant < now - HISTORY_SPAN:
            changes.popleft()
        self._counts[vm] += step
