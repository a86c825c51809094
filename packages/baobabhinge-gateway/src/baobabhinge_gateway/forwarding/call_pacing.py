"""Times at which single backend servers may get their next call."""

from datetime import timedelta

from baobabhinge_coordination.clock import Clock

SECOND = timedelta(seconds=1)


class CallPacer:
    """Spread the calls to a server evenly, without bursts.

    Parameters
    ----------
    clock : Clock
        Clock of the calls.
    """

    __slots__ = ('_clock', '_next_call')

    def __init__(self, clock: Clock) -> None:
        """Start without calls."""
        self._clock = clock
        self._next_call: dict[str, timedelta] = {}

    def compute_pause(self, server: str) -> timedelta:
        """Return the time until the next call to ``server``, 0 for now."""
        next_call = self._next_call.get(server, timedelta())
        return max(timedelta(), next_call - self._clock.read_monotonic())

    def record_call(self, server: str, rate: float) -> None:
        """Record a call, which delays the next one.

        Parameters
        ----------
        server : str
            Name of the server.
        rate : float
            Calls per second that this gateway may send to it.
        """
        self._next_call[server] = self._clock.read_monotonic() + SECOND / rate
