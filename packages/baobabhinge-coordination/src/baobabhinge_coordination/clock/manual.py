"""Clock that advances only by calls of the program."""

from datetime import UTC, datetime, timedelta

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class ManualClock:
    """Clock for tests and state exploration.

    Examples
    --------
    >>> from datetime import timedelta
    >>> clock = ManualClock()
    >>> clock.advance(timedelta(seconds=2))
    >>> clock.read_monotonic()
    datetime.timedelta(seconds=2)
    """

    __slots__ = ('_elapsed',)

    def __init__(self) -> None:
        """Start at zero monotonic time."""
        self._elapsed = timedelta()

    def advance(self, step: timedelta) -> None:
        """Advance the instant and the monotonic time by ``step``."""
        self._elapsed += step

    def read_instant(self) -> datetime:
        """Return a fixed epoch plus all steps so far."""
        return EPOCH + self._elapsed

    def read_monotonic(self) -> timedelta:
        """Return the sum of all steps so far."""
        return self._elapsed
