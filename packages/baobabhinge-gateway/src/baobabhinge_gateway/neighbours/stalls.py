"""Times in which this process did not run, or had not heard of others yet.

Load pattern: a process that was frozen, or has just started, holds other
gateways for gone that it could not hear, and itself for the only one.
"""

from datetime import timedelta

import structlog

from baobabhinge_coordination.clock import Clock

# Above the interval of heartbeats; a longer gap means that the process stood.
MAX_GAP = timedelta(seconds=1)
# Three heartbeats of the gateways of the region; less than two if it is large.
SETTLING_TIME = timedelta(seconds=1)
NO_TIME = timedelta()
MILLISECOND = timedelta(milliseconds=1)

log = structlog.get_logger(__name__)


class StallMonitor:
    """Detect that this process has not run for a while.

    Parameters
    ----------
    clock : Clock
        Clock that also runs while the vm is suspended.
    """

    __slots__ = ('_clock', '_settled_from', '_stalled', '_tick')

    def __init__(self, clock: Clock) -> None:
        """Start unsettled, as no other gateway can be known yet."""
        self._clock = clock
        self._tick = clock.read_monotonic()
        self._stalled = NO_TIME
        self._settled_from = self._tick + SETTLING_TIME

    def record_tick(self) -> None:
        """Record that the process runs; called more often than `MAX_GAP`."""
        now = self._clock.read_monotonic()
        gap = now - self._tick
        self._tick = now
        if gap > MAX_GAP:
            log.warning('process-stalled', stalled_ms=gap // MILLISECOND)
            self._stalled += gap - MAX_GAP
            self._settled_from = now + SETTLING_TIME

    def read_running_time(self) -> timedelta:
        """Return the monotonic time without that of stalls.

        By this time, the silence of others during a stall does not count.
        """
        latest = min(self._clock.read_monotonic(), self._tick + MAX_GAP)
        return latest - self._stalled

    def is_settled(self, margin: timedelta = NO_TIME) -> bool:
        """Return whether what is known of other gateways can be relied on.

        Parameters
        ----------
        margin : timedelta, optional
            Time to wait beyond that in which the own region is heard of.
        """
        now = self._clock.read_monotonic()
        is_running = now - self._tick <= MAX_GAP
        return is_running and now >= self._settled_from + margin
