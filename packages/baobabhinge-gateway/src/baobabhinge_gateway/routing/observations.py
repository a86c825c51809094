"""What this gateway has seen of each target."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.routing.averages import ExponentialAverage, PeakAverage

PEAK_HALF_LIFE = timedelta(seconds=3)
SLOT_TIME_WEIGHT = 0.1
INITIAL_SLOT_TIME = timedelta(milliseconds=500)
ZERO_DURATION = timedelta()


class ExchangeSample(msgspec.Struct, frozen=True):
    """One finished exchange.

    Parameters
    ----------
    destination : str
        Vm of a backend server, or name of another region.
    first : timedelta
        From dispatch to the first piece of the answer.
    total : timedelta
        From dispatch to the end of the answer.
    predicted_wait : timedelta
        Queueing that was expected at dispatch.
    """

    destination: str
    first: timedelta
    total: timedelta
    predicted_wait: timedelta = ZERO_DURATION


class Observations:
    """Averages by place.

    Parameters
    ----------
    clock : Clock
        Clock of the averages.
    """

    __slots__ = ('_clock', '_first', '_hold')

    def __init__(self, clock: Clock) -> None:
        """Start without samples."""
        self._clock = clock
        self._first: dict[str, PeakAverage] = {}
        self._hold: dict[str, ExponentialAverage] = {}

    def add(self, sample: ExchangeSample) -> None:
        """Take one finished exchange."""
        started = max(ZERO_DURATION, sample.first - sample.predicted_wait)
        held = max(ZERO_DURATION, sample.total - sample.predicted_wait)
        self._find_first(sample.destination).add(started)
        self._find_hold(sample.destination).add(held)

    def read_first_chunk_time(self, destination: str) -> timedelta:
        """Return the time to the first piece, without queueing."""
        return self._find_first(destination).read()

    def read_slot_time(self, destination: str) -> timedelta:
        """Return how long a call holds a slot."""
        return self._find_hold(destination).read()

    def _find_first(self, destination: str) -> PeakAverage:
        return self._first.setdefault(
            destination,
            PeakAverage(self._clock, PEAK_HALF_LIFE),
        )

    def _find_hold(self, destination: str) -> ExponentialAverage:
        return self._hold.setdefault(
            destination,
            ExponentialAverage(SLOT_TIME_WEIGHT, INITIAL_SLOT_TIME),
        )
