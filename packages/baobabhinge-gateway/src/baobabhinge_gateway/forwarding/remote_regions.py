"""What gateways of other regions tell of themselves and of their servers.

Load pattern: the last engine of a region crashes, and all other regions see
nothing but an engine without load; a region is cut off.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# Two heartbeats to another region.
FRESH = timedelta(seconds=2)


class _Told(msgspec.Struct, frozen=True):
    heard: timedelta
    region: str
    shut: frozenset[str]


class RemoteRegions:
    """What gateways of other regions told lately.

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

    def record(self, gateway: str, region: str, shut: Collection[str]) -> None:
        """Take which servers of its region a gateway finds shut.

        Parameters
        ----------
        gateway, region : str
            Name of the gateway, and where it stands.
        shut : collection of str
            Names of the servers, in place of those that it told before.
        """
        now = self._clock.read_monotonic()
        self._told[gateway] = _Told(now, region, frozenset(shut))

    def list_live(self) -> frozenset[str]:
        """Return the regions of which any gateway was heard lately."""
        return frozenset(told.region for told in self._list_fresh())

    def list_unavailable(self) -> frozenset[str]:
        """Return the servers of which any gateway told so lately."""
        return frozenset().union(*(told.shut for told in self._list_fresh()))

    def _list_fresh(self) -> Sequence[_Told]:
        oldest = self._clock.read_monotonic() - FRESH
        return [told for told in self._told.values() if told.heard >= oldest]
