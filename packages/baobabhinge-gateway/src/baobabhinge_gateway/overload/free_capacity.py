"""How much capacity gateways have left, as they report it."""

from collections.abc import Sequence
from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import Clock

# Three to five heartbeats, after which a gateway counts as failed.
EXPIRY = timedelta(seconds=3)
# Calls of other regions are not forwarded to gateways with less.
BUSY_BELOW = 0.25
# Gateways that have more than half of their capacity left are all alike.
FULL_FROM = 0.5
# Gateways that refuse calls are still listed at times, to end the refusals of
# one that has become idle without callers.
LEAST_FREE = 0.05
ALL_FREE = 1.0


class FreeCapacity(msgspec.Struct, frozen=True):
    """Report of one gateway.

    Parameters
    ----------
    free : float
        Fraction of its capacity that is free, from `LEAST_FREE` to 1.
    received : timedelta
        Monotonic time of the report.
    """

    free: float
    received: timedelta


class FreeCapacities:
    """Reports of all gateways; one without a report is free.

    Parameters
    ----------
    clock : Clock
        Clock by which reports expire.
    """

    __slots__ = ('_clock', '_reports')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, FreeCapacity] = {}

    def record(self, name: str, free: float) -> None:
        """Record the report of a gateway."""
        now = self._clock.read_monotonic()
        self._reports[name] = FreeCapacity(free, now)

    def read(self, name: str) -> float:
        """Return the free fraction of the capacity of a gateway."""
        report = self._reports.get(name)
        if report is None:
            return ALL_FREE
        if self._clock.read_monotonic() - report.received > EXPIRY:
            self._reports.pop(name)
            return ALL_FREE
        return report.free

    def is_busy(self, name: str) -> bool:
        """Return whether a gateway takes no calls of other regions."""
        return bool(self._reports) and self.read(name) < BUSY_BELOW

    def has_busy(self) -> bool:
        """Return whether any gateway reports that part of it is in use."""
        names = tuple(self._reports)
        return min(map(self.read, names), default=ALL_FREE) < ALL_FREE


def compute_free(used: float, admitted: float) -> float:
    """Return the free fraction of the capacity that a gateway reports.

    Parameters
    ----------
    used : float
        Fraction of its processor time that it uses.
    admitted : float
        Share of the arriving calls that it admits.
    """
    if admitted < 1:
        return LEAST_FREE
    free = (1 - used) / FULL_FROM
    return max(LEAST_FREE, min(ALL_FREE, free))


def choose_listed(
    free: Sequence[tuple[str, float]], random: Random
) -> Sequence[str]:
    """Return the gateways to list, each in proportion to its free capacity.

    At least one is returned if there is any.

    Parameters
    ----------
    free : sequence of pairs
        Addresses, each with the free fraction of its capacity.
    random : Random
        Generator of the choice.
    """
    most = max((fraction for _, fraction in free), default=ALL_FREE)
    return [
        address
        for address, fraction in free
        if fraction >= most or random.random() * most < fraction
    ]
