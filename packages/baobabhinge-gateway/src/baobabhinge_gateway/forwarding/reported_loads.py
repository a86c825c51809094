"""Loads that other gateways report, summed by server.

Load pattern: hundreds of gateways that report several times a second. The sums
are kept up to date as reports come: a report costs what has changed in it, and
a call costs nothing.
"""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.server_load import NO_LOAD, ServerLoad

# Three heartbeat periods or more in a region, two between most regions; after a
# longer silence, the gateway has failed or is unreachable.
REPORT_MAX_AGE = timedelta(seconds=2)

Loads = Mapping[str, ServerLoad]
NO_LOADS: Loads = {}


class _LoadReport(msgspec.Struct, frozen=True):
    received: timedelta
    loads: Loads


class ReportedLoads:
    """Latest report of each gateway, and the sums of those that are valid.

    Parameters
    ----------
    clock : Clock
        Timestamps the reports.
    """

    __slots__ = ('_clock', '_reports', '_sums')

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, _LoadReport] = {}
        self._sums: dict[str, ServerLoad] = {}

    def record(self, gateway: str, loads: Loads) -> None:
        """Record the loads, by server, that a gateway reports."""
        now = self._clock.read_monotonic()
        known = self._reports.pop(gateway, None)
        # The latest report is the last one.
        self._reports[gateway] = _LoadReport(now, loads)
        self._replace(known.loads if known else NO_LOADS, loads)

    def read(self, server: str) -> ServerLoad:
        """Return the load of ``server`` by the reports that are valid."""
        self.drop_expired()
        return self.read_latest(server)

    def read_latest(self, server: str) -> ServerLoad:
        """Return the load of ``server`` as of the latest `drop_expired`."""
        return self._sums.get(server, NO_LOAD)

    def drop_expired(self) -> None:
        """Drop the reports that are not valid any more."""
        oldest = self._clock.read_monotonic() - REPORT_MAX_AGE
        while self._reports:
            gateway = next(iter(self._reports))
            if self._reports[gateway].received >= oldest:
                break
            self._replace(self._reports.pop(gateway).loads, NO_LOADS)

    def _replace(self, known: Loads, loads: Loads) -> None:
        for server, load in known.items():
            if loads.get(server) != load:
                self._add(server, load, -1)
        for server, load in loads.items():
            if known.get(server) != load:
                self._add(server, load, 1)

    def _add(self, server: str, load: ServerLoad, sign: int) -> None:
        summed = self._sums.get(server, NO_LOAD).add(load, sign)
        if summed.has_any():
            self._sums[server] = summed
        else:
            self._sums.pop(server, None)
