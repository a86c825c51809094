"""Switching between home and other regions without flapping."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock

OFF_THRESHOLD_FRACTION = 0.5
OFF_DELAY = timedelta(seconds=2)


class SpilloverSwitch:
    """Whether calls of a service may leave the region.

    The switch turns on when the home region is expected to be late, and off
    once it is expected well within time for a while.

    Parameters
    ----------
    clock : Clock
        Clock of the pause.
    """

    __slots__ = ('_clock', '_since_calm', '_turned_on')

    def __init__(self, clock: Clock) -> None:
        """Start off."""
        self._clock = clock
        self._turned_on = False
        self._since_calm: timedelta | None = None

    def update(self, first: timedelta, goal: timedelta) -> bool:
        """Take the expected first piece at home and return the switch.

        Parameters
        ----------
        first : timedelta
            Expected time to the first piece at home.
        goal : timedelta
            Time that counts as in time.
        """
        if first > goal:
            self._turned_on = True
            self._since_calm = None
        elif self._turned_on:
            self._turned_on = not self._has_calmed(
                is_calm=first < goal * OFF_THRESHOLD_FRACTION,
            )
        return self._turned_on

    def _has_calmed(self, *, is_calm: bool) -> bool:
        now = self._clock.read_monotonic()
        if not is_calm:
            self._since_calm = None
            return False
        if self._since_calm is None:
            self._since_calm = now
        return now - self._since_calm >= OFF_DELAY
