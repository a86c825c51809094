"""Times of one run at a server, and what they say of its speed."""

from datetime import timedelta
from math import exp, log

from baobabhinge_gateway.forwarding.engine_timing import (
    FIRST_EVENT_STEPS,
    estimate_event_time,
    estimate_prefill_time,
)
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.pace.factors import LearnedService
from baobabhinge_gateway.pace.figures import NO_FIGURES, Figures

NO_TIME = timedelta()
MILLISECOND = timedelta(milliseconds=1)
# A prompt that has to wait tells more of the other prompts than of the server.
MAX_QUEUEING = timedelta(milliseconds=20)
# With fewer events, the time between them is mostly chance.
MIN_EVENTS = 4
# The time to the first event varies more than the mean time between events.
FIRST_EVENT_WEIGHT = 0.5
# Calls among which an engine of usual load shares each decode step.
USUAL_CALLS = 16


class RunTimes:
    """Times of one run.

    Parameters
    ----------
    begun : timedelta
        Instant at which the call was sent.

    Attributes
    ----------
    begun : timedelta
        Instant at which the call was sent.
    first, latest : timedelta or None
        Instants of the first and the latest chunk of a stream.
    chunks : int
        Chunks of the stream.
    """

    __slots__ = ('begun', 'chunks', 'first', 'latest')

    def __init__(self, begun: timedelta) -> None:
        """Start without chunks."""
        self.begun = begun
        self.chunks = 0
        self.first: timedelta | None = None
        self.latest: timedelta | None = None

    def record_chunk(self, now: timedelta) -> None:
        """Record that a chunk of a stream has arrived."""
        self.first = self.first or now
        self.latest = now
        self.chunks += 1

    def measure_gap(self) -> timedelta | None:
        """Return the mean time between chunks; ``None`` if there are few."""
        if not self.first or not self.latest or self.chunks < MIN_EVENTS:
            return None
        return (self.latest - self.first) / (self.chunks - 1)


def estimate_work(estimate: ServerEstimate, output: int) -> Figures:
    """Return the work that a call brings to a server of mean speed.

    Parameters
    ----------
    estimate : ServerEstimate
        Estimate for the chosen server.
    output : int
        Tokens that the answer is expected to have; 0 for a plain call.
    """
    if not estimate.added.memory:
        return Figures(work=(estimate.expected or NO_TIME) / MILLISECOND)
    decode = estimate_event_time(USUAL_CALLS) * (
        output / FIRST_EVENT_STEPS / USUAL_CALLS
    )
    prefill = estimate_prefill_time(estimate.added.unread)
    return Figures(
        work=(prefill + decode) / MILLISECOND, prefill=prefill / MILLISECOND
    )


def evaluate_run(
    times: RunTimes,
    end: timedelta,
    estimate: ServerEstimate,
    learned: LearnedService,
    pace: float,
) -> Figures:
    """Return what a complete run says of the speed of its server.

    Parameters
    ----------
    times : RunTimes
        Times of the run.
    end : timedelta
        Instant at which the answer was complete.
    estimate : ServerEstimate
        Estimate by which the server was chosen.
    learned : LearnedService
        What is known of the service, against which outliers are bounded.
    pace : float
        Pace that the server has stated for this time.
    """
    name = estimate.server.name
    if not estimate.added.memory:
        sample = _compare(end - times.begun, estimate.expected, pace)
        if sample is None:
            return Figures()
        return Figures(first=learned.bound_first(name, sample), first_weight=1)
    return _evaluate_events(times, estimate, learned, pace).add(
        _evaluate_first(times, estimate, learned, pace)
    )


def _evaluate_events(
    times: RunTimes,
    estimate: ServerEstimate,
    learned: LearnedService,
    pace: float,
) -> Figures:
    gap = times.measure_gap()
    sample = _compare(gap, estimate_event_time(estimate.calls), 1)
    if sample is None:
        return Figures()
    server = estimate.server.name
    # With a share p of prefills at usual speed, events take f / (1 - p f)
    # times as long at a server that takes f times as long for each step.
    share = learned.figures.get(server, NO_FIGURES).prefill_share
    sample -= log(1 + share * exp(sample))
    return Figures(
        events=learned.bound_events(server, sample - log(pace)),
        events_weight=1,
    )


def _evaluate_first(
    times: RunTimes,
    estimate: ServerEstimate,
    learned: LearnedService,
    pace: float,
) -> Figures:
    if times.first is None or estimate.queueing > MAX_QUEUEING:
        return Figures()
    sample = _compare(times.first - times.begun, estimate.expected, pace)
    if sample is None:
        return Figures()
    bounded = learned.bound_first(estimate.server.name, sample)
    return Figures(
        first=FIRST_EVENT_WEIGHT * bounded, first_weight=FIRST_EVENT_WEIGHT
    )


def _compare(
    observed: timedelta | None, expected: timedelta | None, pace: float
) -> float | None:
    if not observed or not expected:
        return None
    ratio = observed / expected / pace
    return log(ratio) if ratio > 0 else None
