"""Unavailable servers that gateways of remote regions report.

Load pattern: the last engine of a region crashes, and its missing load makes it
look idle to other regions; a region becomes unreachable.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock

# Two heartbeat periods between regions.
REPORT_MAX_AGE = timedelta(seconds=2)


class _Report(msgspec.Struct, frozen=True):
    received: timedelta
    region: str
    unavailable: frozenset[str]


class RemoteRegions:
    """Latest report of each gateway of a remote region.

    Parameters
    ----------
    clock : Clock
        Timestamps the reports.
    """

    __slots__ = ('_clock', '_reports')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, _Report] = {}

    def record(
        self,
        gateway: str,
        region: str,
        unavailable: Collection[str],
    ) -> None:
        """Record the servers that a gateway reports as unavailable.

        Parameters
        ----------
        gateway, region : str
            Name of the gateway, and its region.
        unavailable : collection of str
            Names of the unavailable servers of that region; they replace
            those of the previous report.
        """
        now = self._clock.read_monotonic()
        self._reports[gateway] = _Report(now, region, frozenset(unavailable))

    def list_live(self) -> frozenset[str]:
        """Return the regions from which a recent report exists."""
        return frozenset(report.region for report in self._list_recent())

    def list_unavailable(self) -> frozenset[str]:
        """Return the servers that any recent report names."""
        return frozenset().union(
            *(report.unavailable for report in self._list_recent()),
        )

    def _list_recent(self) -> Sequence[_Report]:
        oldest = self._clock.read_monotonic() - REPORT_MAX_AGE
        return [
            report
            for report in self._reports.values()
            if report.received >= oldest
        ]
