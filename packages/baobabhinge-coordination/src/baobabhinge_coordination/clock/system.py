"""Clocks of the operating system."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Read the wall clock and the monotonic clock of this vm."""

    __slots__ = ()

    def read_instant(self) -> datetime:
        """Return the current instant in UTC."""
        return datetime.now(UTC)

    def read_monotonic(self) -> timedelta:
        """Return the monotonic time of this vm."""
        return timedelta(seconds=time.monotonic())


class BootClock:
    """Read the wall clock, and a clock that runs while the vm is suspended."""

    __slots__ = ()

    def read_instant(self) -> datetime:
        """Return the current instant in UTC."""
        return datetime.now(UTC)

    def read_monotonic(self) -> timedelta:
        """Return the time since boot, including time spent suspended."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
