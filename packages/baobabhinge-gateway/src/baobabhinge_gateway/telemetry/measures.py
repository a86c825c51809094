"""Counters, and histograms of latencies."""

from collections import Counter
from datetime import timedelta

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECOND = timedelta(microseconds=1)
MICROSECONDS_PER_MILLISECOND = 1000
REPORTED_PERCENTILES = (50, 95, 99)


class LatencySummary(msgspec.Struct, frozen=True):
    """Percentiles of one latency, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class Measures:
    """What this gateway has counted and timed since its start."""

    __slots__ = ('_latencies', 'outcomes')

    def __init__(self) -> None:
        """Start empty."""
        self.outcomes: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}

    def record_latency(self, name: str, latency: timedelta) -> None:
        """Add one latency to the histogram called ``name``."""
        if name not in self._latencies:
            self._latencies[name] = HdrHistogram(
                LOWEST_MICROSECONDS,
                HIGHEST_MICROSECONDS,
                SIGNIFICANT_DIGITS,
            )
        self._latencies[name].record_value(latency // MICROSECOND)

    def summarize(self) -> dict[str, LatencySummary]:
        """Return the percentiles of every histogram."""
        return {
            name: _summarize(histogram)
            for name, histogram in self._latencies.items()
        }


def _summarize(histogram: HdrHistogram) -> LatencySummary:
    percentiles = [
        histogram.get_value_at_percentile(share) / MICROSECONDS_PER_MILLISECOND
        for share in REPORTED_PERCENTILES
    ]
    return LatencySummary(histogram.get_total_count(), *percentiles)
