"""Unavailable servers that gateways of remote regions report.

Load pattern: the last engine of a region crashes, and its missing load makes it
look idle to other regions; a region becomes unreachable.
"""

from collections import Counter
from collections.abc import Collection, Iterable
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

    What the reports say together is kept up to date as they come: most of them
    say the same as the one before.

    Parameters
    ----------
    clock : Clock
        Timestamps the reports.
    """

    __slots__ = ('_clock', '_regions', '_reports', '_unavailable')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, _Report] = {}
        # How many of the reports name each region, and each server.
        self._regions: Counter[str] = Counter()
        self._unavailable: Counter[str] = Counter()

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
        self._drop(gateway)
        now = self._clock.read_monotonic()
        report = _Report(now, region, frozenset(unavailable))
        # The latest report is the last one.
        self._reports[gateway] = report
        self._regions[region] += 1
        self._unavailable.update(report.unavailable)

    def list_live(self) -> frozenset[str]:
        """Return the regions from which a recent report exists."""
        self._drop_expired()
        return frozenset(self._regions)

    def list_unavailable(self) -> frozenset[str]:
        """Return the servers that any recent report names."""
        self._drop_expired()
        return frozenset(self._unavailable)

    def _drop_expired(self) -> None:
        oldest = self._clock.read_monotonic() - REPORT_MAX_AGE
        while self._reports:
            gateway = next(iter(self._reports))
            if self._reports[gateway].received >= oldest:
                break
            self._drop(gateway)

    def _drop(self, gateway: str) -> None:
        report = self._reports.pop(gateway, None)
        if report is not None:
            _subtract(self._regions, (report.region,))
            _subtract(self._unavailable, report.unavailable)


def _subtract(counts: Counter[str], names: Iterable[str]) -> None:
    for name in names:
        counts[name] -= 1
        if not counts[name]:
            counts.pop(name)
