"""Limits on the bytes that are sent over the links between regions."""

from datetime import timedelta
from typing import Protocol

import msgspec

from baobabhinge_coordination.clock import Clock

BURST_DURATION = timedelta(seconds=1)
SECOND = timedelta(seconds=1)


class _Bucket(msgspec.Struct):
    level: float
    updated: timedelta


class LinkRates(Protocol):
    """Provider of the rates of links."""

    def compute_link_rate(self, region: str) -> float:
        """Return the bytes per second that may be sent to ``region``."""


class LinkBudget:
    """One token bucket of bytes for each remote region.

    Parameters
    ----------
    clock : Clock
        Clock for the refill of the buckets.
    rates : LinkRates
        Rates at which this gateway may send over each link.
    """

    __slots__ = ('_buckets', '_clock', '_rates')

    def __init__(self, clock: Clock, rates: LinkRates) -> None:
        """Start with full buckets."""
        self._clock = clock
        self._rates = rates
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, region: str, size: int) -> bool:
        """Return whether ``size`` bytes may be sent to ``region`` now."""
        return self._refill(region).level >= size

    def spend(self, region: str, size: int) -> None:
        """Remove ``size`` bytes from the bucket, even below zero."""
        self._refill(region).level -= size

    def _refill(self, region: str) -> _Bucket:
        now = self._clock.read_monotonic()
        rate = self._rates.compute_link_rate(region)
        capacity = rate * (BURST_DURATION / SECOND)
        bucket = self._buckets.setdefault(region, _Bucket(capacity, now))
        refill = rate * ((now - bucket.updated) / SECOND)
        bucket.level = min(capacity, bucket.level + refill)
        bucket.updated = now
        return bucket
