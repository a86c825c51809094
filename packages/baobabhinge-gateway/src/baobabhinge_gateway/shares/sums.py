"""Sums of the work of one service, by priority, workspace and route."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import msgspec

from baobabhinge_coordination.bounds import Count
from baobabhinge_gateway.shares.entries import TOTAL


class Work(msgspec.Struct, array_like=True, frozen=True):
    """Work of calls, in ms of a server.

    Parameters
    ----------
    requested : int
        Work of all calls of callers.
    placed : int
        Work of those that a server was to run.
    strained : int
        Work of all calls, each times its wait as a part of the longest one.
    refused : int
        Work of those that were refused as above their share.
    allowed : int
        Work that was to be placed by the share of its kind.
    calls : int
        Number of calls of callers.
    """

    requested: Count = 0
    placed: Count = 0
    strained: Count = 0
    refused: Count = 0
    allowed: Count = 0
    calls: Count = 0

    def add(self, other: 'Work', sign: int = 1) -> 'Work':
        """Return the sum with ``other``, or the difference if sign is -1."""
        return Work(
            self.requested + sign * other.requested,
            self.placed + sign * other.placed,
            self.strained + sign * other.strained,
            self.refused + sign * other.refused,
            self.allowed + sign * other.allowed,
            self.calls + sign * other.calls,
        )

    @property
    def strain(self) -> float:
        """Mean wait of the calls that were not refused as above their share.

        It is a part of the longest wait.
        """
        passed = self.requested - self.refused
        return self.strained / passed if passed > 0 else 0

    @property
    def fulfilment(self) -> float:
        """Part of the allowed work that was placed."""
        return min(1, self.placed / self.allowed) if self.allowed else 1


NO_WORK = Work()
# By the entries that `entries` names.
WorkSums = Mapping[int, Work]


def has_pressure(sums: WorkSums) -> bool:
    """Return whether any call met a long queue, or was refused for others."""
    total = sums.get(TOTAL, NO_WORK)
    return total.strained > 0 or total.refused > 0


def add_sums(parts: Iterable[WorkSums]) -> WorkSums:
    """Return the sums of several gateways together."""
    total: defaultdict[int, Work] = defaultdict(Work)
    for part in parts:
        for entry, work in part.items():
            total[entry] = total[entry].add(work)
    return total
