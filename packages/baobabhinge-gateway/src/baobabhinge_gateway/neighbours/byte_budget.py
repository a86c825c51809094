"""Bound on the bytes that a gateway sends to others for one purpose."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock

# Time after which an unused budget is full.
FILLING_TIME = timedelta(seconds=2)


class ByteBudget:
    """Token bucket that holds bytes.

    Parameters
    ----------
    rate : float
        Bytes per second.
    clock : Clock
        Clock of the rate.
    """

    __slots__ = ('_clock', '_filled', '_rate', '_updated')

    def __init__(self, rate: float, clock: Clock) -> None:
        """Start with a full budget."""
        self._rate = rate
        self._clock = clock
        self._filled = self.capacity
        self._updated = clock.read_monotonic()

    @property
    def capacity(self) -> float:
        """Bytes of a full budget."""
        return self._rate * FILLING_TIME.total_seconds()

    def try_spend(self, length: float, reserve: float = 0) -> bool:
        """Take ``length`` bytes if that leaves ``reserve``; return whether."""
        self._fill()
        if self._filled - length < reserve:
            return False
        self._filled -= length
        return True

    def compute_time(self, length: float) -> timedelta:
        """Return the time in which ``length`` bytes are filled in."""
        return timedelta(seconds=length / self._rate)

    def _fill(self) -> None:
        now = self._clock.read_monotonic()
        elapsed = (now - self._updated).total_seconds()
        self._updated = now
        self._filled = min(self.capacity, self._filled + elapsed * self._rate)
