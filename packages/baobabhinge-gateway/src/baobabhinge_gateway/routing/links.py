"""Bytes that may be sent over the narrow links between regions."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

BURST = timedelta(seconds=1)
SECOND = timedelta(seconds=1)


class _Bucket(msgspec.Struct):
    level: float
    updated: timedelta


class LinkBudget:
    """A token bucket of bytes for each other region.

    Parameters
    ----------
    clock : Clock
        Clock of the refilling.
    bytes_per_second : int
        Rate that this gateway may use of each link.
    """

    __slots__ = ('_buckets', '_clock', '_rate')

    def __init__(self, clock: Clock, bytes_per_second: int) -> None:
        """Start with full buckets."""
        self._clock = clock
        self._rate = bytes_per_second
        self._buckets: dict[str, _Bucket] = {}

    def allows(self, region: str, size: int) -> bool:
        """Tell whether ``size`` bytes may be sent to ``region`` now."""
        return self._refill(region).level >= size

    def spend(self, region: str, size: int) -> None:
        """Take ``size`` bytes off the bucket; it may go below empty."""
        self._refill(region).level -= size

    def _refill(self, region: str) -> _Bucket:
        now = self._clock.read_monotonic()
        full = self._rate * (BURST / SECOND)
        bucket = self._buckets.setdefault(region, _Bucket(full, now))
        gained = self._rate * ((now - bucket.updated) / SECOND)
        bucket.level = min(full, bucket.level + gained)
        bucket.updated = now
        return bucket
