"""Times at which heartbeats are due.

Load pattern: in large regions, heartbeats to all others cost each gateway more
than the calls that it serves.
"""

from datetime import timedelta

# Loads that are older mislead the placement of calls.
SHORTEST_INTERVAL = timedelta(milliseconds=300)
LONGEST_INTERVAL = timedelta(milliseconds=600)
# Gateways of a region up to this size tell each other as often as is useful.
PROMPT_REGION_SIZE = 40
# Remote regions are told less often: the links to them have a low bandwidth,
# and their traffic is charged.
REMOTE_INTERVAL = timedelta(milliseconds=900)
# Timers fire late, and intervals do not divide the remote one.
REMOTE_MARGIN = SHORTEST_INTERVAL / 2


def compute_interval(region_size: int) -> timedelta:
    """Return the time between two heartbeats to the own region.

    Parameters
    ----------
    region_size : int
        Gateways of the region.
    """
    interval = SHORTEST_INTERVAL * region_size / PROMPT_REGION_SIZE
    return min(LONGEST_INTERVAL, max(SHORTEST_INTERVAL, interval))


class RemotePacer:
    """Decide which heartbeats go to remote regions too.

    Regions that lend to each other learn at once that a gateway takes calls, or
    takes none any more.
    """

    __slots__ = ('_due', '_was_ready')

    def __init__(self) -> None:
        """Wait for the first interval, or until the gateway is ready."""
        self._due: timedelta | None = None
        self._was_ready = False

    def take_turn(self, now: timedelta, *, is_ready: bool) -> bool:
        """Return whether remote regions are due, which begins an interval.

        Parameters
        ----------
        now : timedelta
            Monotonic time of the heartbeat.
        is_ready : bool
            Whether callers may use this gateway.
        """
        is_first = self._due is None
        has_changed = is_ready != self._was_ready
        if self._due is not None and now < self._due and not has_changed:
            return False
        self._due = now + REMOTE_INTERVAL - REMOTE_MARGIN
        self._was_ready = is_ready
        return has_changed or not is_first
