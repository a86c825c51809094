"""Timing calls."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock


class Watch:
    """Times of one call, and the identifier in its answer.

    Parameters
    ----------
    clock : Clock
        Clock of the latencies.

    Attributes
    ----------
    first : timedelta, optional
        Time to the first token; ``None`` before it has come.
    request_id : str
        Identifier that the answer gives.
    """

    __slots__ = ('_clock', '_started', 'first', 'request_id')

    def __init__(self, clock: Clock) -> None:
        """Start now."""
        self._clock = clock
        self._started = clock.read_monotonic()
        self.first: timedelta | None = None
        self.request_id = ''

    def read(self) -> timedelta:
        """Return the time since the start."""
        return self._clock.read_monotonic() - self._started

    def note(self, request_id: str) -> None:
        """Note that a piece of an answer has come."""
        self.request_id = request_id
        if self.first is None:
            self.first = self.read()
