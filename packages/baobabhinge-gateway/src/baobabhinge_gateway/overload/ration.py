"""Which calls are admitted while only a share of them can be."""

from collections import Counter
from collections.abc import Mapping

# No priority gets less than this fraction of what all calls get together, so
# that none is refused altogether.
FLOOR = 0.3
# Rates are taken over the last two periods, of half a second each.
PERIOD_TICKS = 10


class PriorityRation:
    """Admit a share of the calls, those of urgent priorities first.

    Decisions are spread evenly over the calls of a priority, without chance.
    """

    __slots__ = ('_counts', '_credits', '_former', '_shares', '_ticks')

    def __init__(self) -> None:
        """Start without calls, and admit all."""
        self._counts: Counter[int] = Counter()
        self._former: Counter[int] = Counter()
        self._credits: dict[int, float] = {}
        self._shares: Mapping[int, float] = {}
        self._ticks = 0

    def update(self, admitted: float) -> None:
        """Divide an admitted share among the priorities, at each tick."""
        self._ticks += 1
        if self._ticks % PERIOD_TICKS == 0:
            self._former = self._counts
            self._counts = Counter()
        self._shares = (
            {}
            if admitted >= 1
            else divide_share(admitted, self._former + self._counts)
        )

    def take(self, priority: int) -> bool:
        """Count a call, and return whether it is admitted."""
        self._counts[priority] += 1
        share = self._shares.get(priority, 1.0)
        if share >= 1:
            return True
        due = self._credits.get(priority, 0) + share
        is_admitted = due >= 1
        self._credits[priority] = due - is_admitted
        return is_admitted


def divide_share(
    admitted: float, counts: Mapping[int, int]
) -> Mapping[int, float]:
    """Return the share of the calls of each priority to admit.

    Parameters
    ----------
    admitted : float
        Share of all calls to admit.
    counts : mapping of int to int
        Calls that arrived, by priority; 0 is the most urgent.
    """
    floor = FLOOR * admitted
    left = sum(counts.values()) * (admitted - floor)
    shares: dict[int, float] = {}
    for priority, count in sorted(counts.items()):
        shares[priority] = min(1, floor + left / count)
        left -= count * (shares[priority] - floor)
    return shares
