"""Bytes that may be sent over the narrow links between regions."""

from datetime import timedelta
from typing import Protocol

import msgspec

from baobabhinge_coordination.clock import Clock

BURST = timedelta(seconds=1)
SECOND = timedelta(seconds=1)


class _Bucket(msgspec.Struct):
    level: float
    updated: timedelta


class LinkRates(Protocol):
    """Where the rates of links come from."""

    def compute_link_rate(self, region: str) -> float:
        """Return the bytes a second that may go to ``region``."""


class LinkBudget:
    """A token bucket of bytes for each other region.

    Parameters
    ----------
    clock : Clock
        Clock of the refilling.
    rates : LinkRates
        Rate that this gateway may use of each link.
    """

    __slots__ = ('_buckets', '_clock', '_rates')

    def __init__(self, clock: Clock, rates: LinkRates) -> None:
        """Start with full buckets."""
        self._clock = clock
        self._rates = rates
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, region: str, size: int) -> bool:
        """Tell whether ``size`` bytes may be sent to ``region`` now."""
        return self._refill(region).level >= size

    def spend(self, region: str, size: int) -> None:
        """Take ``size`` bytes off the bucket; it may go below empty."""
        self._refill(region).level -= size

    def _refill(self, region: str) -> _Bucket:
        now = self._clock.read_monotonic()
        rate = self._rates.compute_link_rate(region)
        full = rate * (BURST / SECOND)
        bucket = self._buckets.setdefault(region, _Bucket(full, now))
        gained = rate * ((now - bucket.updated) / SECOND)
        bucket.level = min(full, bucket.level + gained)
        bucket.updated = now
        return bucket
