"""Times until which servers are kept whose entries are gone."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from baobabhinge_coordination.clock import Clock


class RemovalTable:
    """Times at which servers are removed.

    Parameters
    ----------
    clock : Clock
        Clock of the times.
    """

    __slots__ = ('_clock', '_ends')

    def __init__(self, clock: Clock) -> None:
        """Start without removals."""
        self._clock = clock
        self._ends: dict[str, timedelta] = {}

    def begin(self, name: str, delay: timedelta) -> None:
        """Remove a server after ``delay``, unless it is sooner already."""
        self._ends.setdefault(name, self._clock.read_monotonic() + delay)

    def limit(self, name: str, left: timedelta) -> None:
        """Remove a server after ``left`` at most, if it is to be removed."""
        end = self._ends.get(name)
        if end is not None:
            self._ends[name] = min(end, self._clock.read_monotonic() + left)

    def cancel(self, name: str) -> None:
        """Keep a server."""
        self._ends.pop(name, None)

    def list_left(self) -> Mapping[str, timedelta]:
        """Return for how much longer each of the servers is kept."""
        now = self._clock.read_monotonic()
        return {
            name: max(timedelta(), end - now)
            for name, end in self._ends.items()
        }

    def pop_due(self) -> Sequence[str]:
        """Return and forget the servers whose time has come."""
        now = self._clock.read_monotonic()
        due = [name for name, end in self._ends.items() if now >= end]
        for name in due:
            self._ends.pop(name)
        return due
