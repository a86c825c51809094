"""Times until which servers are kept whose entries are gone."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from baobabhinge_coordination.clock import Clock

# Servers serve on for some seconds after their entries are gone.
MAX_AGE = timedelta(minutes=1)


class RemovalTable:
    """Times at which servers are removed.

    Parameters
    ----------
    clock : Clock
        Clock of the times.
    """

    __slots__ = ('_begun', '_clock', '_ends')

    def __init__(self, clock: Clock) -> None:
        """Start without removals."""
        self._clock = clock
        self._ends: dict[str, timedelta] = {}
        # The oldest is the first one.
        self._begun: dict[str, timedelta] = {}

    def begin(
        self, name: str, delay: timedelta, *, is_announced: bool = False
    ) -> None:
        """Remove a server after ``delay``, unless it is sooner already.

        Parameters
        ----------
        name : str
            Name of the server.
        delay : timedelta
            Time for which it is kept.
        is_announced : bool, optional
            Whether it had announced its end.
        """
        now = self._clock.read_monotonic()
        self._ends.setdefault(name, now + delay)
        if is_announced:
            return
        self._begun.setdefault(name, now)
        while now - next(iter(self._begun.values())) > MAX_AGE:
            self._begun.pop(next(iter(self._begun)))

    def compute_age(self, name: str) -> timedelta | None:
        """Return the time since the entry of a server has gone unannounced.

        ``None`` if it has not, or longer ago than `MAX_AGE`.
        """
        begun = self._begun.get(name)
        return None if begun is None else self._clock.read_monotonic() - begun

    def limit(self, name: str, left: timedelta) -> None:
        """Remove a server after ``left`` at most, if it is to be removed."""
        end = self._ends.get(name)
        if end is not None:
            self._ends[name] = min(end, self._clock.read_monotonic() + left)

    def cancel(self, name: str) -> None:
        """Keep a server."""
        self._ends.pop(name, None)
        self._begun.pop(name, None)

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
