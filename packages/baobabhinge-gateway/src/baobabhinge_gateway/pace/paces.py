"""Paces that servers state: how long work takes, relative to the usual."""

from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# A stated pace holds in full for this time.
FULL_AGE = timedelta(milliseconds=100)
# Disturbances last several times as long, so that it counts less and less until
# this age instead of not at all.
MAX_AGE = timedelta(milliseconds=400)
# Paces above this one are told to other gateways.
SLOW_PACE = 1.3
# Paces beyond these bounds are not trusted.
MIN_PACE = 0.1
MAX_PACE = 20

Paces = Mapping[str, tuple[float, timedelta]]
SlowListener = Callable[[], None]


class _DatedPace(msgspec.Struct, frozen=True):
    pace: float
    stated: timedelta


def ignore_slow() -> None:
    """Do nothing when a server states that it is slow."""


class StatedPaces:
    """Latest pace of each server.

    Parameters
    ----------
    clock : Clock
        Timestamps the statements.

    Attributes
    ----------
    on_slow : callable
        Called when a server states that it is slow and no recent statement
        said so.
    """

    __slots__ = ('_clock', '_paces', 'on_slow')

    def __init__(self, clock: Clock) -> None:
        """Start without statements."""
        self._clock = clock
        self._paces: dict[str, _DatedPace] = {}
        self.on_slow: SlowListener = ignore_slow

    def record(self, server: str, pace: float) -> None:
        """Record the pace that a server states now."""
        was_slow = server in self.export_slow()
        self.merge({server: (pace, timedelta())})
        if pace > SLOW_PACE and not was_slow:
            self.on_slow()

    def merge(self, paces: Paces) -> None:
        """Record paces that are not older than the known ones.

        Parameters
        ----------
        paces : mapping
            Pace, and time since its statement, by server.
        """
        now = self._clock.read_monotonic()
        for server, stated in paces.items():
            age = max(stated[1], timedelta())
            dated = _DatedPace(_bound(stated[0]), now - age)
            if self._paces.get(server, dated).stated <= dated.stated:
                self._paces[server] = dated

    def find(self, server: str) -> float:
        """Return the pace of a server; 1 if no recent statement says it."""
        known = self._paces.get(server)
        if known is None:
            return 1
        age = self._clock.read_monotonic() - known.stated
        if age <= FULL_AGE:
            return known.pace
        left = (MAX_AGE - age) / (MAX_AGE - FULL_AGE)
        return 1 + (known.pace - 1) * max(0, left)

    def export_slow(self) -> Paces:
        """Return paces above `SLOW_PACE` that hold in full, and their ages."""
        now = self._clock.read_monotonic()
        oldest = now - FULL_AGE
        return {
            server: (known.pace, now - known.stated)
            for server, known in self._paces.items()
            if known.pace > SLOW_PACE and known.stated >= oldest
        }


def _bound(pace: float) -> float:
    return max(MIN_PACE, min(MAX_PACE, pace))
