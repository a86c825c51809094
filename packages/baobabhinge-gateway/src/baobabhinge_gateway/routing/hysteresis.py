"""Hysteresis for sending the calls of a service to remote regions."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock

OFF_THRESHOLD_FRACTION = 0.5
OFF_DELAY = timedelta(seconds=2)


class SpilloverSwitch:
    """Switch that allows the calls of a service to leave the region.

    The switch turns on when the local region is expected to answer late. To
    avoid flapping, it turns off only after the expected time has stayed below
    `OFF_THRESHOLD_FRACTION` of the limit for `OFF_DELAY`.

    Parameters
    ----------
    clock : Clock
        Clock for the delay.
    """

    __slots__ = ('_clock', '_low_since', '_turned_on')

    def __init__(self, clock: Clock) -> None:
        """Start turned off."""
        self._clock = clock
        self._turned_on = False
        self._low_since: timedelta | None = None

    def update(self, first: timedelta, limit: timedelta) -> bool:
        """Update the switch and return whether it is on.

        Parameters
        ----------
        first : timedelta
            Expected time to the first chunk in the local region.
        limit : timedelta
            Longest time that is not late.
        """
        if first > limit:
            self._turned_on = True
            self._low_since = None
        elif self._turned_on:
            self._turned_on = not self._is_off_delay_over(
                is_low=first < limit * OFF_THRESHOLD_FRACTION,
            )
        return self._turned_on

    def _is_off_delay_over(self, *, is_low: bool) -> bool:
        now = self._clock.read_monotonic()
        if not is_low:
            self._low_since = None
            return False
        if self._low_since is None:
            self._low_since = now
        return now - self._low_since >= OFF_DELAY
