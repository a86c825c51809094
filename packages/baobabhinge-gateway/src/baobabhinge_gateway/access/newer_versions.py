"""Versions of the configuration that other gateways have in force."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock

# The longest time after which a gateway without heartbeats counts as failed,
# and half a second: a version that nobody has any more delays no answer.
RETENTION = timedelta(seconds=5)


class NewerVersions:
    """Newest version that other gateways have reported lately.

    Parameters
    ----------
    clock : Clock
        Clock of the reports.
    """

    __slots__ = ('_clock', '_heard', '_version')

    def __init__(self, clock: Clock) -> None:
        """Start without a report."""
        self._clock = clock
        self._version = 0
        self._heard = timedelta()

    def record(self, version: int) -> None:
        """Record that another gateway has a version in force."""
        if version >= self._version or self._is_expired():
            self._version = version
            self._heard = self._clock.read_monotonic()

    def has_newer(self, own: int) -> bool:
        """Return whether another gateway has a newer version than ``own``."""
        return self._version > own and not self._is_expired()

    def _is_expired(self) -> bool:
        return self._clock.read_monotonic() - self._heard > RETENTION
