"""Delay of the event loop, as far as work of this process causes it."""

from collections import deque
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.overload.processor import ProcessorClock

TICK = timedelta(milliseconds=50)
# A backlog that is worked off within this time needs no refusals. It contains
# two periods of 100 ms in which a kernel grants processor time.
STANDING_TIME = timedelta(milliseconds=250)
# The machine may give the process half of its share while others are busy. A
# delay beyond that is a pause of the process, not a backlog of requests.
PAUSE_FACTOR = 2
# Use beyond the share is a backlog too where the share is charged rather than
# enforced. What this much more allows is within the accuracy of the figures.
CHARGE_TOLERANCE = 1.2
# The processor time of a start is not held against calls for longer.
MAX_CHARGED_DELAY = timedelta(seconds=1)
NO_TIME = timedelta()


class DelayMeter:
    """Measure how far the event loop is behind.

    Parameters
    ----------
    clock : Clock
        Clock of the delays.
    read_processor : callable
        Returns the processor time of the process.
    share : float
        Cores whose time the process can use.

    Attributes
    ----------
    share : float
        Cores whose time the process can use.
    used : timedelta
        Processor time between the latest two ticks.
    elapsed : timedelta
        Time between the latest two ticks.
    """

    __slots__ = (
        '_clock',
        '_debt',
        '_delays',
        '_processor',
        '_read_processor',
        '_tick',
        'elapsed',
        'share',
        'used',
    )

    def __init__(
        self, clock: Clock, read_processor: ProcessorClock, share: float
    ) -> None:
        """Start without a delay."""
        self.share = share
        self.used = NO_TIME
        self.elapsed = NO_TIME
        self._clock = clock
        self._read_processor = read_processor
        self._tick = clock.read_monotonic()
        self._processor = read_processor()
        self._debt = NO_TIME
        self._delays: deque[tuple[timedelta, timedelta]] = deque()

    def record_tick(self) -> None:
        """Record that the loop has come to a tick, `TICK` after the last."""
        now = self._clock.read_monotonic()
        processor = self._read_processor()
        self.elapsed = now - self._tick
        self.used = processor - self._processor
        self._tick = now
        self._processor = processor
        allowed = self.elapsed * self.share * CHARGE_TOLERANCE
        self._debt = max(
            NO_TIME,
            min(
                self._debt + self.used - allowed, MAX_CHARGED_DELAY * self.share
            ),
        )
        explained = self.used / self.share * PAUSE_FACTOR
        delay = min(self.elapsed - TICK, explained)
        self._delays.append((now, max(NO_TIME, delay)))
        while self._delays[0][0] < now - STANDING_TIME:
            self._delays.popleft()

    def read_standing(self) -> timedelta:
        """Return the delay that has lasted for `STANDING_TIME`."""
        if not self._delays:
            return NO_TIME
        least = min(delay for _, delay in self._delays)
        return max(least, self._debt / self.share)
