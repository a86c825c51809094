"""Times that this gateway has observed at each destination."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.routing.averages import ExponentialAverage, PeakAverage

PEAK_HALF_LIFE = timedelta(seconds=3)
SLOT_TIME_WEIGHT = 0.1
INITIAL_SLOT_TIME = timedelta(milliseconds=500)
ZERO_DURATION = timedelta()


class ExchangeSample(msgspec.Struct, frozen=True):
    """Times of one finished exchange.

    Parameters
    ----------
    destination : str
        Vm of a backend server, or name of a remote region.
    first : timedelta
        Time from dispatch to the first chunk of the answer.
    total : timedelta
        Time from dispatch to the end of the answer.
    predicted_wait : timedelta
        Queueing delay that was expected at dispatch.
    """

    destination: str
    first: timedelta
    total: timedelta
    predicted_wait: timedelta = ZERO_DURATION


class Observations:
    """Averages of the observed times by destination.

    Parameters
    ----------
    clock : Clock
        Clock for the decay of the averages.
    """

    __slots__ = ('_clock', '_first', '_slot_time')

    def __init__(self, clock: Clock) -> None:
        """Start without samples."""
        self._clock = clock
        self._first: dict[str, PeakAverage] = {}
        self._slot_time: dict[str, ExponentialAverage] = {}

    def add(self, sample: ExchangeSample) -> None:
        """Update the averages with one finished exchange."""
        first = max(ZERO_DURATION, sample.first - sample.predicted_wait)
        slot_time = max(ZERO_DURATION, sample.total - sample.predicted_wait)
        self._find_first(sample.destination).add(first)
        self._find_slot_time(sample.destination).add(slot_time)

    def read_first_chunk_time(self, destination: str) -> timedelta:
        """Return the time to the first chunk, without queueing."""
        return self._find_first(destination).read()

    def read_slot_time(self, destination: str) -> timedelta:
        """Return the time for which a call occupies a slot."""
        return self._find_slot_time(destination).read()

    def _find_first(self, destination: str) -> PeakAverage:
        return self._first.setdefault(
            destination,
            PeakAverage(self._clock, PEAK_HALF_LIFE),
        )

    def _find_slot_time(self, destination: str) -> ExponentialAverage:
        return self._slot_time.setdefault(
            destination,
            ExponentialAverage(SLOT_TIME_WEIGHT, INITIAL_SLOT_TIME),
        )
