"""Time for which bytes may have waited for the event loop.

Load pattern: a process that is frozen, or has little processor time, finds a
request long after its bytes have arrived.
"""

from collections import deque
from datetime import timedelta
from itertools import islice

NO_TIME = timedelta()
# Runs of the event loop from bytes at a socket until their handler begins: the
# bytes are read, the connection wakes up, the handler's task starts. Before
# that, the poll of a process that was stopped by a signal may find nothing.
READING_RUNS = 4
# Before that, a new connection is accepted, set up and registered.
ACCEPTING_RUNS = 3
# Timers are late by less while the process runs.
MIN_OVERRUN = timedelta(milliseconds=20)


class LoopDelay:
    """Durations of the latest runs of the event loop.

    What a run finds has become ready since the run before began.
    """

    __slots__ = ('_runs',)

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: deque[timedelta] = deque(
            maxlen=READING_RUNS + ACCEPTING_RUNS
        )

    def record_run(self, duration: timedelta) -> None:
        """Record the time between two polls in which the loop did not wait.

        Parameters
        ----------
        duration : timedelta
            Duration of the run, with that of a poll that overran.
        """
        self._runs.append(duration)

    def read(self, *, is_new: bool) -> timedelta:
        """Return for how long a request that begins now can have waited.

        Parameters
        ----------
        is_new : bool
            Whether it is the first one of its connection.
        """
        runs = READING_RUNS
        if is_new:
            runs += ACCEPTING_RUNS
        return sum(islice(reversed(self._runs), runs), start=NO_TIME)


def measure_overrun(waited: timedelta, timeout: float | None) -> timedelta:
    """Return the duration of a poll that overran, as its process stood.

    What it finds may have come at any time in it.

    Parameters
    ----------
    waited : timedelta
        Duration of the poll.
    timeout : float or None
        Seconds after which it was to return; ``None`` without a bound.
    """
    if timeout is None:
        return NO_TIME
    overrun = waited - timedelta(seconds=max(0, timeout))
    return waited if overrun > MIN_OVERRUN else NO_TIME
