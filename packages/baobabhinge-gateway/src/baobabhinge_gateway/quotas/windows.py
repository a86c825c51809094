"""Units that were granted and minted in the current window."""

import math
from collections import deque
from collections.abc import Sequence
from datetime import timedelta

# Units expire by slots. The slot in which a window begins counts in full as
# granted and not at all as minted.
SLOTS = 128

# Parts of a window that a keeper states.
PARTS = 8
PART_SLOTS = SLOTS // PARTS

Slots = deque[tuple[int, float]]


class Window:
    """Units that were granted and minted in a window that ends now.

    Parameters
    ----------
    length : float
        Length of the window, in seconds.
    """

    __slots__ = ('_granted', '_length', '_minted')

    def __init__(self, length: float) -> None:
        """Start without units."""
        self._length = length
        self._granted: Slots = deque()
        self._minted: Slots = deque()

    def grant(self, units: float, now: timedelta) -> None:
        """Record granted units."""
        _record(self._granted, self._find_slot(now), units)

    def mint(self, units: float, now: timedelta) -> None:
        """Record minted units."""
        _record(self._minted, self._find_slot(now), units)

    def expire(self, now: timedelta) -> float:
        """Forget what was before the window; return what is free again."""
        start = self._find_slot(now) - SLOTS
        return _drop(self._granted, start) - _drop(self._minted, start + 1)

    def summarize(self, now: timedelta) -> tuple[list[int], list[int]]:
        """Return what was granted and minted in each part, the latest first."""
        end = self._find_slot(now)
        granted = map(math.ceil, _summarize(self._granted, end))
        minted = map(math.floor, _summarize(self._minted, end))
        return list(granted), list(minted)

    def restore(
        self, granted: Sequence[int], minted: Sequence[int], now: timedelta
    ) -> None:
        """Record what another window held.

        It counts as granted at the end of each part, and as minted at the
        beginning, so that no more is free than there.
        """
        first = self._find_slot(now) - len(granted) * PART_SLOTS
        _spread(self._granted, granted, first + PART_SLOTS)
        _spread(self._minted, minted, first)

    def _find_slot(self, now: timedelta) -> int:
        return int(now.total_seconds() * SLOTS / self._length)


def _record(slots: Slots, slot: int, units: float) -> None:
    if slots and slots[-1][0] == slot:
        units += slots.pop()[1]
    slots.append((slot, units))


def _summarize(slots: Slots, end: int) -> Sequence[float]:
    parts: list[float] = [0 for _ in range(PARTS)]
    for slot, units in slots:
        parts[min(PARTS - 1, (end - slot) // PART_SLOTS)] += units
    return parts


def _spread(slots: Slots, parts: Sequence[int], first: int) -> None:
    for part, units in enumerate(reversed(parts)):
        _record(slots, first + part * PART_SLOTS, units)


def _drop(slots: Slots, start: int) -> float:
    """Remove the slots before ``start`` and return their sum."""
    total: float = 0
    while slots and slots[0][0] < start:
        total += slots.popleft()[1]
    return total
