"""Division of capacity among priorities."""

from collections.abc import Mapping

# Part of the overall ratio of placed to requested work that every workspace and
# route gets before urgent ones get more. None is to be served less than a
# quarter as often as all; other checks refuse some calls that are allowed here.
FLOOR = 0.4


def divide_by_level(
    demands: Mapping[int, float], capacity: float
) -> Mapping[int, float]:
    """Return the part of the work of each priority that is to be placed.

    Calls of one priority are all placed to the same part, so no workspace is
    worse off than another one of its priority.

    Parameters
    ----------
    demands : mapping of int to float
        Requested work by level, of which the least is the most urgent.
    capacity : float
        Work that can be placed.
    """
    ratio = capacity / max(1, sum(demands.values()))
    if ratio >= 1:
        return dict.fromkeys(demands, 1)
    floor = FLOOR * ratio
    rest = 1 - floor
    # Beside the floor, urgent work takes what it needs of the rest.
    needs = {level: rest * demands[level] for level in sorted(demands)}
    given = _fill(needs, capacity * (1 - FLOOR))
    return {level: floor + given[level] * rest for level in needs}


def _fill(needs: Mapping[int, float], left: float) -> Mapping[int, float]:
    """Return the parts of needs that are met, one after another."""
    parts = {}
    for level, need in needs.items():
        parts[level] = min(1, left / max(1, need))
        left = max(0, left - need)
    return parts
