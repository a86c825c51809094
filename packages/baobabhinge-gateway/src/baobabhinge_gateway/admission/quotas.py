"""Operators' limits on calls in flight and on call rates."""

from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.admission.reports import LimitUsage
from baobabhinge_gateway.errors import LimitReachedError
from baobabhinge_settings.model import Limit

SECOND = timedelta(seconds=1)


class _Bucket(msgspec.Struct):
    level: float
    updated: timedelta


class Quotas:
    """Count the calls of this gateway against limits.

    Other gateways count their own calls.

    Parameters
    ----------
    clock : Clock
        Clock for the rates.
    """

    __slots__ = ('_buckets', '_clock', '_in_flight', '_refused')

    def __init__(self, clock: Clock) -> None:
        """Start without calls, with full token buckets."""
        self._clock = clock
        self._in_flight: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()
        self._buckets: dict[str, _Bucket] = {}

    @contextmanager
    def track(self, limits: Iterable[Limit]) -> Iterator[None]:
        """Count one call against ``limits`` within the context.

        Raises
        ------
        LimitReachedError
            If one of the limits is reached; the call is then not counted.
        """
        counted = tuple(limits)
        for limit in counted:
            self._check(limit)
        self._count(counted)
        try:
            yield
        finally:
            self._in_flight.subtract(map(_get_name, counted))

    def measure(self, limit: Limit) -> LimitUsage:
        """Return the usage of ``limit``."""
        return LimitUsage(
            self._in_flight[limit.name],
            self._measure_rate(limit),
            self._refused[limit.name],
        )

    def _measure_rate(self, limit: Limit) -> float:
        if limit.rate is None:
            return 0
        return limit.rate - self._refill(limit.name, limit.rate).level

    def _check(self, limit: Limit) -> None:
        count = self._in_flight[limit.name]
        if limit.in_flight is not None and count >= limit.in_flight:
            self._refused[limit.name] += 1
            raise LimitReachedError(
                f'limit {limit.name}: too many calls in flight',
            )
        if limit.rate is None:
            return
        missing_tokens = 1 - self._refill(limit.name, limit.rate).level
        if missing_tokens > 0:
            self._refused[limit.name] += 1
            raise LimitReachedError(
                f'limit {limit.name}: too many calls per second',
                SECOND * (missing_tokens / limit.rate),
            )

    def _count(self, counted: Iterable[Limit]) -> None:
        self._in_flight.update(map(_get_name, counted))
        for limit in counted:
            if limit.rate is not None:
                self._refill(limit.name, limit.rate).level -= 1

    def _refill(self, name: str, rate: int) -> _Bucket:
        now = self._clock.read_monotonic()
        bucket = self._buckets.setdefault(name, _Bucket(rate, now))
        refill = rate * ((now - bucket.updated) / SECOND)
        bucket.level = min(rate, bucket.level + refill)
        bucket.updated = now
        return bucket


def _get_name(limit: Limit) -> str:
    return limit.name
