"""Bandwidth that several connections share."""

from datetime import timedelta

BITS_PER_BYTE = 8


class Bandwidth:
    """A line that sends one byte after another.

    Parameters
    ----------
    bits_per_second : int
        Speed of the line; 0 sets no limit.
    """

    __slots__ = ('_bits_per_second', '_free_at')

    def __init__(self, bits_per_second: int = 0) -> None:
        """Start with an idle line."""
        self._bits_per_second = bits_per_second
        self._free_at = timedelta()

    def send(self, now: timedelta, size: int) -> timedelta:
        """Return the time at which ``size`` bytes given now have left."""
        if not self._bits_per_second:
            return now
        seconds = size * BITS_PER_BYTE / self._bits_per_second
        self._free_at = max(now, self._free_at) + timedelta(seconds=seconds)
        return self._free_at
