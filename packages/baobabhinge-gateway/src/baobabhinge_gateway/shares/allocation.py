"""Allocation of capacity under pressure, and what it means for one call."""

from collections.abc import Mapping, Sequence

import msgspec

from baobabhinge_gateway.shares.division import divide_by_level
from baobabhinge_gateway.shares.entries import TOTAL, Kind, is_of_kind
from baobabhinge_gateway.shares.sums import NO_WORK, Work, WorkSums

# Calls of one kind wait on average for more than this part of the longest time,
LONG_WAIT = 0.5
# and less than this part of the work of one kind is placed.
WELL_PLACED = 0.75
# What is placed next, as a factor of what was placed in the latest second: it
# grows by this without queues, and stays if calls wait for a quarter of the
# longest time. Queues twice as long left the least urgent workspace of the
# replay with less than a tenth of what all were served.
GROWTH = 1.1
SLOPE = 0.4
# Enough to notice that servers answer again; the other checks refuse the rest.
LEAST_PART = 0.2
# Of fewer calls in the latest second, a single refusal tells nothing.
MIN_CALLS = 10
# Above this, a workspace or route counts as served as its priority allows.
AS_ALLOWED = 0.9
# Below this part of all work, a workspace or route sets no bound for others.
MIN_PART = 0.02
# Bound of the compensation for calls that other checks refuse.
MAX_BOOST = 3


class KindPart(msgspec.Struct, frozen=True):
    """Part of the calls of one priority, workspace and route.

    Parameters
    ----------
    part : float
        Part of them that is to be placed.
    boosted : float
        Part that is to be admitted, as other checks refuse some.
    is_below : bool
        Whether less is placed, so that they may wait longer than others.
    """

    part: float
    boosted: float
    is_below: bool


class Allocation(msgspec.Struct, frozen=True):
    """Parts of the requested work of one service that are to be placed.

    Parameters
    ----------
    sums : mapping of int to Work
        Work of the region in the latest second.
    levels : mapping of int to float
        Part of the work of each priority that is to be placed.
    excess : float
        Requested work as a multiple of what can be placed.
    """

    sums: WorkSums
    levels: Mapping[int, float]
    excess: float

    def compute_part(self, level: int, workspace: int, route: int) -> KindPart:
        """Return the part of the calls of one kind that are to be placed.

        More are admitted if the other checks have refused calls of its
        priority, and of its workspace or route.
        """
        part = self.levels.get(level, 1)
        placed = self._measure(workspace, route)
        boost = 1 / max(placed, self._measure(level), 1 / MAX_BOOST)
        return KindPart(part, min(1, part * boost), placed < AS_ALLOWED)

    def _measure(self, *entries: int) -> float:
        return min(
            self.sums.get(entry, NO_WORK).fulfilment for entry in entries
        )


def allocate(sums: WorkSums) -> Allocation | None:
    """Return the allocation for a service; ``None`` without pressure.

    There is pressure while much of the work of a kind is not placed, as calls
    queue for long, or as this allocation refuses some. That only depends on the
    sums, so gateways with the same sums allocate alike, and what it refuses
    ends with the demand.

    Parameters
    ----------
    sums : mapping of int to Work
        Work of the region in the latest second.
    """
    total = sums.get(TOTAL, NO_WORK)
    groups = _list_groups(sums)
    if total.calls < MIN_CALLS:
        return None
    if all(work.placed >= work.requested * WELL_PLACED for work in groups):
        return None
    strains = [work.strain for work in groups]
    if not total.refused and max(strains) <= LONG_WAIT:
        return None
    capacity = _estimate_capacity(total, strains)
    return Allocation(
        sums,
        divide_by_level(_list_demands(sums), capacity),
        total.requested / capacity,
    )


def _list_groups(sums: WorkSums) -> Sequence[Work]:
    """Return the sums of all work, and of workspaces and routes with some."""
    least = MIN_PART * sums.get(TOTAL, NO_WORK).requested
    return [
        work
        for entry, work in sums.items()
        if work.requested >= least and not is_of_kind(entry, Kind.level)
    ]


def _list_demands(sums: WorkSums) -> Mapping[int, float]:
    return {
        entry: work.requested
        for entry, work in sums.items()
        if is_of_kind(entry, Kind.level)
    }


def _estimate_capacity(total: Work, strains: Sequence[float]) -> float:
    """Return the work that is to be placed next.

    The kind that waits longest counts for half. If it alone decided, servers
    would idle for the sake of a single kind with a short objective.
    """
    mean = sum(strains) / len(strains)
    factor = GROWTH - SLOPE * (max(strains) + mean) / 2
    return max(factor * total.placed, LEAST_PART * total.requested)
