"""Load of each backend server, summed over all gateways."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.forwarding.server_load import NO_LOAD, ServerLoad

# More than six heartbeat periods in a region and two between regions; after a
# longer silence, the gateway has failed or is unreachable.
REPORT_MAX_AGE = timedelta(seconds=2)
# Resolution of timedelta, as a report is still valid at exactly that age.
CLOCK_STEP = timedelta(microseconds=1)


Loads = dict[str, ServerLoad]


class _LoadReport(msgspec.Struct, frozen=True):
    received: timedelta
    loads: Mapping[str, ServerLoad]


class _ReportedSums(msgspec.Struct):
    """Loads caused by all other gateways, valid until a report expires."""

    loads: Mapping[str, ServerLoad]
    end: timedelta


class LoadTable:
    """Loads that this gateway causes, and those that other gateways report.

    Parameters
    ----------
    clock : Clock
        Timestamps the reports.

    Attributes
    ----------
    own : dict of str to ServerLoad
        Load of the calls that this gateway has in flight, by server.
    """

    __slots__ = ('_clock', '_reports', '_sums', 'own')

    def __init__(self, clock: Clock) -> None:
        """Start without calls and without reports."""
        self._clock = clock
        self.own: Loads = {}
        self._reports: dict[str, _LoadReport] = {}
        self._sums = _ReportedSums({}, clock.read_monotonic())

    def record(self, gateway: str, loads: Mapping[str, ServerLoad]) -> None:
        """Record the loads, by server, that another gateway reports."""
        now = self._clock.read_monotonic()
        self._reports[gateway] = _LoadReport(now, loads)
        self._sums.end = now

    def read(self, server: str) -> ServerLoad:
        """Return the load of ``server``, summed over all gateways."""
        now = self._clock.read_monotonic()
        if now >= self._sums.end:
            self._sums = _sum_reports(self._reports, now)
        others = self._sums.loads.get(server, NO_LOAD)
        return others.add(self.own.get(server, NO_LOAD))

    def change(self, server: str, load: ServerLoad, sign: int) -> None:
        """Add ``load`` to the own load of ``server``, or subtract it.

        Parameters
        ----------
        server : str
            Name of the server.
        load : ServerLoad
            Change of the load.
        sign : int
            1 to add, -1 to subtract.
        """
        changed = self.own.get(server, NO_LOAD).add(load, sign)
        if changed.calls > 0:
            self.own[server] = changed
        else:
            self.own.pop(server, None)

    @contextmanager
    def hold(self, server: str, load: ServerLoad) -> Iterator['HeldLoad']:
        """Count a call at ``server`` while the context is open.

        Parameters
        ----------
        server : str
            Name of the server.
        load : ServerLoad
            Load that the call causes.
        """
        held = HeldLoad(self, server, load)
        try:
            yield held
        finally:
            held.release()


class HeldLoad:
    """Load that one call causes on its server.

    Parameters
    ----------
    table : LoadTable
        Loads of all servers.
    server : str
        Server of the call.
    load : ServerLoad
        Load of the call before its prompt is prefilled.
    """

    __slots__ = ('_load', '_server', '_table')

    def __init__(self, table: LoadTable, server: str, load: ServerLoad) -> None:
        """Add the load to the table."""
        self._table = table
        self._server = server
        self._load = load
        table.change(server, load, 1)

    def record_first_event(self) -> None:
        """Subtract the prompt, which is prefilled; later calls do nothing."""
        if self._load.unread:
            prefilled = ServerLoad(
                unread=self._load.unread,
                unread_by_priority=self._load.unread_by_priority,
            )
            self._table.change(self._server, prefilled, -1)
            self._load = self._load.add(prefilled, -1)

    def release(self) -> None:
        """Subtract the remaining load from the table."""
        self._table.change(self._server, self._load, -1)


def _sum_reports(
    reports: dict[str, _LoadReport],
    now: timedelta,
) -> _ReportedSums:
    for gateway, report in tuple(reports.items()):
        if report.received < now - REPORT_MAX_AGE:
            reports.pop(gateway)
    sums: Loads = {}
    for recent in reports.values():
        _add_all(sums, recent.loads)
    oldest = min((one.received for one in reports.values()), default=now)
    return _ReportedSums(sums, oldest + REPORT_MAX_AGE + CLOCK_STEP)


def _add_all(sums: Loads, loads: Mapping[str, ServerLoad]) -> None:
    for server, load in loads.items():
        sums[server] = sums.get(server, NO_LOAD).add(load)
