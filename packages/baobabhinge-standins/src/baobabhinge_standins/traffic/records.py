"""Outcomes and latencies by kind of work."""

from collections import Counter
from datetime import timedelta

import msgspec
from hdrh.histogram import HdrHistogram

from baobabhinge_standins.traffic.requests import Request
from baobabhinge_standins.traffic.verdicts import Verdict

HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECOND = timedelta(microseconds=1)


class Sample(msgspec.Struct, frozen=True):
    """One request with what its caller saw.

    Parameters
    ----------
    request : Request
        What was sent.
    verdict : Verdict
        What became of it.
    request_id : str
        Identifier that the gateways gave it.
    first, whole : timedelta
        Time to the first token and to the end of the answer.
    """

    request: Request
    verdict: Verdict
    request_id: str
    first: timedelta
    whole: timedelta


class Latencies:
    """Histograms of one kind of work."""

    __slots__ = ('first', 'whole')

    def __init__(self) -> None:
        """Start empty."""
        self.first = _build_histogram()
        self.whole = _build_histogram()

    def add(self, sample: Sample) -> None:
        """Record one answer."""
        self.first.record_value(sample.first // MICROSECOND)
        self.whole.record_value(sample.whole // MICROSECOND)


class Records:
    """Samples, outcomes and the latencies of whole answers.

    Attributes
    ----------
    samples : list of Sample
        Every request that has ended.
    outcomes : Counter of Verdict
        Number of requests by what became of them.
    latencies : dict of str to Latencies
        Latencies of whole answers by kind of work.
    sent : int
        Requests sent so far.
    """

    __slots__ = ('latencies', 'outcomes', 'samples', 'sent')

    def __init__(self) -> None:
        """Start empty."""
        self.samples: list[Sample] = []
        self.outcomes: Counter[Verdict] = Counter()
        self.latencies: dict[str, Latencies] = {}
        self.sent = 0

    def add(self, sample: Sample) -> None:
        """Record one request that has ended."""
        self.samples.append(sample)
        self.outcomes[sample.verdict] += 1
        if sample.verdict is Verdict.answered:
            kind = sample.request.kind
            self.latencies.setdefault(kind, Latencies()).add(sample)


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
