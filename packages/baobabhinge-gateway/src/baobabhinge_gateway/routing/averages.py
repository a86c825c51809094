"""Averages that follow a changing quantity."""

import math
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

ZERO_DURATION = timedelta()


class _State(msgspec.Struct):
    mean: timedelta
    updated: timedelta


class PeakAverage:
    """Average that rises at once and falls slowly.

    A sample above the average replaces it; a sample below pulls it down with
    the weight of the time since the last one. Without samples the average
    fades to nothing, so that a server that was slow is tried again.

    Parameters
    ----------
    clock : Clock
        Clock of the fading.
    half_life : timedelta
        Time after which half of a past peak is left.

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
        """Take one sample."""
        now = self._clock.read_monotonic()
        kept = self._fade(now)
        mean = self._state.mean * kept + sample * (1 - kept)
        self._state = _State(max(mean, sample), now)

    def read(self) -> timedelta:
        """Return the average now."""
        now = self._clock.read_monotonic()
        return self._state.mean * self._fade(now)

    def _fade(self, now: timedelta) -> float:
        elapsed = now - self._state.updated
        return math.pow(0.5, elapsed / self._half_life)


class ExponentialAverage:
    """Plain exponential average over a number of samples.

    Parameters
    ----------
    weight : float
        Share of a new sample, between 0 and 1.
    initial : timedelta
        Average before the first sample.
    """

    __slots__ = ('_mean', '_weight')

    def __init__(self, weight: float, initial: timedelta) -> None:
        """Start at ``initial``."""
        self._weight = weight
        self._mean = initial

    def add(self, sample: timedelta) -> None:
        """Take one sample."""
        self._mean += (sample - self._mean) * self._weight

    def read(self) -> timedelta:
        """Return the average."""
        return self._mean
