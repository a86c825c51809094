"""Servers that gateways of other regions tell to be shut.

Load pattern: the last engine of a region crashes, and all other regions see
nothing but an engine without load.
"""

from collections.abc import Collection
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# Two heartbeats to another region.
FRESH = timedelta(seconds=2)


class _Told(msgspec.Struct, frozen=True):
    heard: timedelta
    shut: frozenset[str]


class ToldShut:
    """What gateways of other regions told of their servers.

    Parameters
    ----------
    clock : Clock
        Dates what is told.
    """

    __slots__ = ('_clock', '_told')

    def __init__(self, clock: Clock) -> None:
        """Have heard nothing."""
        self._clock = clock
        self._told: dict[str, _Told] = {}

    def hear(self, gateway: str, shut: Collection[str]) -> None:
        """Take which servers a gateway finds shut, in place of the last."""
        now = self._clock.read_monotonic()
        self._told[gateway] = _Told(now, frozenset(shut))

    def list_shut(self) -> frozenset[str]:
        """Return the servers of which any gateway told so lately."""
        oldest = self._clock.read_monotonic() - FRESH
        return frozenset().union(
            *(
                told.shut
                for told in self._told.values()
                if told.heard >= oldest
            ),
        )
