"""Moving averages of durations."""

import math
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

ZERO_DURATION = timedelta()


class _State(msgspec.Struct):
    mean: timedelta
    updated: timedelta


class PeakAverage:
    """Exponential average that rises at once and falls slowly.

    A sample above the average replaces it. A lower sample reduces it, with a
    weight that grows with the time since the last sample. Without samples the
    average decays to zero, so that a server that was slow is tried again.

    Parameters
    ----------
    clock : Clock
        Clock for the decay.
    half_life : timedelta
        Time in which the average decays to half.

    References
    ----------
    Peak EWMA, as in the load balancers of Finagle and Linkerd.
    """

    __slots__ = ('_clock', '_half_life', '_state')

    def __init__(self, clock: Clock, half_life: timedelta) -> None:
        """Start at zero."""
        self._clock = clock
        self._half_life = half_life
        self._state = _State(ZERO_DURATION, clock.read_monotonic())

    def add(self, sample: timedelta) -> None:
        """Update the average with one sample."""
        now = self._clock.read_monotonic()
        weight = self._compute_decay(now)
        mean = self._state.mean * weight + sample * (1 - weight)
        self._state = _State(max(mean, sample), now)

    def read(self) -> timedelta:
        """Return the average, decayed to the present."""
        now = self._clock.read_monotonic()
        return self._state.mean * self._compute_decay(now)

    def _compute_decay(self, now: timedelta) -> float:
        elapsed = now - self._state.updated
        return math.pow(0.5, elapsed / self._half_life)


class ExponentialAverage:
    """Exponential average with a fixed weight of each new sample.

    Parameters
    ----------
    weight : float
        Weight of a new sample, between 0 and 1.
    initial : timedelta
        Average before the first sample.
    """

    __slots__ = ('_mean', '_weight')

    def __init__(self, weight: float, initial: timedelta) -> None:
        """Start at ``initial``."""
        self._weight = weight
        self._mean = initial

    def add(self, sample: timedelta) -> None:
        """Update the average with one sample."""
        self._mean += (sample - self._mean) * self._weight

    def read(self) -> timedelta:
        """Return the average of the samples so far."""
        return self._mean
