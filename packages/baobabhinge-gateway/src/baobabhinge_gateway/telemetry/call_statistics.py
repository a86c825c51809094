"""Counters of outcomes and histograms of latencies."""

from collections import Counter, defaultdict
from datetime import timedelta

import msgspec
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
COUNTER_BYTES = 4
MICROSECOND = timedelta(microseconds=1)
MICROSECONDS_PER_MILLISECOND = 1000
REPORTED_PERCENTILES = (50, 95, 99)
MAX_SERVICES = 32
OTHER_SERVICES = '*'

Histograms = dict[str, HdrHistogram]


class LatencySummary(msgspec.Struct, frozen=True):
    """Count and percentiles of the latencies of one kind.

    Parameters
    ----------
    count : int
        Number of latencies recorded.
    p50_ms, p95_ms, p99_ms : float
        Percentiles, in milliseconds.
    """

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class CallStatistics:
    """Outcomes and latencies of the calls to this gateway since its start.

    The first `MAX_SERVICES` services that are called have histograms of their
    own; all others share those of `OTHER_SERVICES`, to bound the memory.

    Attributes
    ----------
    outcomes : Counter of str
        Number of calls by outcome, such as ``answered``.
    """

    __slots__ = ('_services', 'outcomes')

    def __init__(self) -> None:
        """Start with no calls recorded."""
        self.outcomes: Counter[str] = Counter()
        self._services: dict[str, Histograms] = {}

    def record_latency(
        self,
        kind: str,
        service: str,
        latency: timedelta,
    ) -> None:
        """Record a latency of one kind, such as ``answer``, and service."""
        histograms = self._find_histograms(service)
        if kind not in histograms:
            histograms[kind] = _create_histogram()
        histograms[kind].record_value(latency // MICROSECOND)

    def summarize(self) -> dict[str, LatencySummary]:
        """Return the percentiles over all services, by kind of latency."""
        merged: defaultdict[str, HdrHistogram] = defaultdict(_create_histogram)
        for histograms in self._services.values():
            for kind, histogram in histograms.items():
                merged[kind].add(histogram)
        return _summarize(merged)

    def summarize_services(self) -> dict[str, dict[str, LatencySummary]]:
        """Return the percentiles by service, then by kind of latency."""
        return {
            service: _summarize(histograms)
            for service, histograms in self._services.items()
        }

    def _find_histograms(self, service: str) -> Histograms:
        if service not in self._services:
            if len(self._services) >= MAX_SERVICES:
                service = OTHER_SERVICES
        return self._services.setdefault(service, {})


def _create_histogram() -> HdrHistogram:
    return HdrHistogram(
        MIN_LATENCY_US,
        MAX_LATENCY_US,
        SIGNIFICANT_DIGITS,
        COUNTER_BYTES,
    )


def _summarize(histograms: Histograms) -> dict[str, LatencySummary]:
    return {
        kind: _summarize_histogram(histogram)
        for kind, histogram in histograms.items()
    }


def _summarize_histogram(histogram: HdrHistogram) -> LatencySummary:
    by_percentile = histogram.get_percentile_to_value_dict(REPORTED_PERCENTILES)
    percentiles = [
        by_percentile[percentile] / MICROSECONDS_PER_MILLISECOND
        for percentile in REPORTED_PERCENTILES
    ]
    return LatencySummary(histogram.get_total_count(), *percentiles)
