"""What this gateway has seen of each target."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.routing.averages import PeakAverage, WindowAverage

PEAK_HALF_LIFE = timedelta(seconds=3)
HOLD_WEIGHT = 0.1
INITIAL_HOLD = timedelta(milliseconds=500)
NOTHING = timedelta()


class Sample(msgspec.Struct, frozen=True):
    """One finished exchange.

    Parameters
    ----------
    place : str
        Vm of a backend server, or name of another region.
    first : timedelta
        From dispatch to the first piece of the answer.
    whole : timedelta
        From dispatch to the end of the answer.
    predicted_wait : timedelta
        Queueing that was expected at dispatch.
    """

    place: str
    first: timedelta
    whole: timedelta
    predicted_wait: timedelta = NOTHING


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
        self._hold: dict[str, WindowAverage] = {}

    def add(self, sample: Sample) -> None:
        """Take one finished exchange."""
        started = max(NOTHING, sample.first - sample.predicted_wait)
        held = max(NOTHING, sample.whole - sample.predicted_wait)
        self._find_first(sample.place).add(started)
        self._find_hold(sample.place).add(held)

    def read_first(self, place: str) -> timedelta:
        """Return the time to the first piece, without queueing."""
        return self._find_first(place).read()

    def read_hold(self, place: str) -> timedelta:
        """Return how long a call holds a slot."""
        return self._find_hold(place).read()

    def _find_first(self, place: str) -> PeakAverage:
        return self._first.setdefault(
            place,
            PeakAverage(self._clock, PEAK_HALF_LIFE),
        )

    def _find_hold(self, place: str) -> WindowAverage:
        return self._hold.setdefault(
            place,
            WindowAverage(HOLD_WEIGHT, INITIAL_HOLD),
        )
