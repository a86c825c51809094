"""Bound on the calls that one run of the event loop admits.

The delay of the loop shows a burst only after it was worked off.
"""

from datetime import timedelta

# Until calls were measured.
FIRST_COST = timedelta(milliseconds=3)
MIN_COST = timedelta(microseconds=500)
# Some 4 ms of a core at a twentieth of its speed.
MAX_COST = timedelta(milliseconds=80)
# Ticks with fewer calls say more of other work of the process than of calls.
MEASURED_CALLS = 3
SMOOTHING = 0.1
# Fraction of the objective that the calls of one run of the loop may take
# together, by priority, and for all priorities below these.
RUN_FRACTIONS = (0.5, 0.375)
LAST_RUN_FRACTION = 0.25


class BurstBound:
    """Count the calls that were admitted since the latest tick.

    Attributes
    ----------
    cost : timedelta
        Time for which a call keeps the loop busy.
    """

    __slots__ = ('_count', 'cost')

    def __init__(self) -> None:
        """Start without calls."""
        self._count = 0
        self.cost = FIRST_COST

    def has_room(self, priority: int, objective: timedelta) -> bool:
        """Return whether one more call can be placed in time."""
        fraction = LAST_RUN_FRACTION
        if priority < len(RUN_FRACTIONS):
            fraction = RUN_FRACTIONS[priority]
        needed = self.cost * (self._count + 1)
        return self._count == 0 or needed <= objective * fraction

    def add(self) -> None:
        """Count a call that was admitted."""
        self._count += 1

    def record_tick(self, used: timedelta) -> None:
        """Learn the cost of a call from the busy time since a tick."""
        if self._count >= MEASURED_CALLS:
            cost = min(MAX_COST, max(MIN_COST, used / self._count))
            self.cost += (cost - self.cost) * SMOOTHING
        self._count = 0
