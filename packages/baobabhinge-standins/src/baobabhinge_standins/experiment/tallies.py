"""Figures over the outcomes that callers saw."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from http import HTTPStatus
from itertools import pairwise

from hdrh.histogram import HdrHistogram

from baobabhinge_standins.experiment.callers import Outcome

HIGHEST_MILLISECONDS = 600_000
SIGNIFICANT_DIGITS = 3
MILLISECOND = timedelta(milliseconds=1)
NOISY = 'noisy'


def fill_histogram(latencies: Iterable[timedelta]) -> HdrHistogram:
    """Return a histogram of ``latencies`` in milliseconds."""
    histogram = HdrHistogram(1, HIGHEST_MILLISECONDS, SIGNIFICANT_DIGITS)
    for latency in latencies:
        histogram.record_value(max(1, latency // MILLISECOND))
    return histogram


def list_gaps(outcomes: Iterable[Outcome]) -> Iterable[timedelta]:
    """Yield the times between the tokens of each answer."""
    for outcome in outcomes:
        for earlier, later in pairwise(outcome.instants):
            yield later - earlier


def list_quiet(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Return the outcomes of the workspaces that are not noisy."""
    return [
        outcome
        for outcome in outcomes
        if outcome.arrival.stream.workspace != NOISY
    ]


def compute_goodput(outcomes: Sequence[Outcome], goal: timedelta) -> float:
    """Return the share answered whole with the first token in time."""
    good = [
        outcome
        for outcome in outcomes
        if outcome.is_whole and outcome.instants[0] <= goal
    ]
    return len(good) / max(1, len(outcomes))


def compute_refused(outcomes: Sequence[Outcome]) -> float:
    """Return the share that was refused."""
    accepted = {HTTPStatus.OK, 0}
    refused = [
        outcome for outcome in outcomes if outcome.status not in accepted
    ]
    return len(refused) / max(1, len(outcomes))
