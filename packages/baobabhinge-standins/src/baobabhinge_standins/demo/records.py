"""What became of the requests of a demo."""

import enum
from collections import Counter
from datetime import timedelta

from hdrh.histogram import HdrHistogram

HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECOND = timedelta(microseconds=1)


class Verdict(enum.StrEnum):
    """What became of one request."""

    answered = 'answered'
    not_run = 'not run'
    unknown = 'unknown'
    cut = 'cut'


class Records:
    """Outcomes and latencies."""

    __slots__ = ('first', 'outcomes', 'whole')

    def __init__(self) -> None:
        """Start empty."""
        self.outcomes: Counter[Verdict] = Counter()
        self.first = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
        self.whole = HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)

    def add(
        self,
        verdict: Verdict,
        first: timedelta,
        whole: timedelta,
    ) -> None:
        """Record one request."""
        self.outcomes[verdict] += 1
        self.first.record_value(first // MICROSECOND)
        self.whole.record_value(whole // MICROSECOND)
