"""Load reports as a payload of the heartbeats."""

from collections.abc import Sequence

import msgspec

from baobabhinge_coordination.membership import Member
from baobabhinge_gateway.fleet.digests import digest_name
from baobabhinge_gateway.fleet.reports import LoadReports
from baobabhinge_gateway.fleet.rows import pack_row, unpack_rows
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_platform.machines import Vm

MAX_ROWS = 36
MAX_BYTES = 576
NO_ROWS = b''


class LoadReportPart:
    """Tell reports to the other gateways of the region.

    Parameters
    ----------
    fleet : FleetView
        Known backend servers.
    reports : LoadReports
        Where reports come from and go to.
    """

    name = 'reports'
    stays_home = True

    __slots__ = ('_fleet', '_named', '_names', '_reports')

    def __init__(self, fleet: FleetView, reports: LoadReports) -> None:
        """Keep the parts."""
        self._fleet = fleet
        self._reports = reports
        self._named: Sequence[Vm] = ()
        self._names: dict[bytes, str] = {}

    def compose(self) -> bytes:
        """Return reports told least often so far, the freshest first."""
        rows = self._take_rows()
        return msgspec.json.encode(b''.join(rows)) if rows else NO_ROWS

    def absorb(self, sender: Member, body: bytes) -> None:
        """Keep the reports that are fresher than the known ones.

        Raises
        ------
        msgspec.MsgspecError
            If the payload is malformed.
        """
        packed = msgspec.json.decode(body, type=bytes)
        names = self._list_names()
        for key, report in list(unpack_rows(packed)):
            name = names.get(key)
            if name is not None:
                self._reports.put(name, report)

    def _list_names(self) -> dict[bytes, str]:
        vms = self._fleet.list_local_backends()
        if vms is not self._named:
            self._named = vms
            self._names = {digest_name(vm.name): vm.name for vm in vms}
        return self._names

    def _take_rows(self) -> list[bytes]:
        rows: list[bytes] = []
        for vm in self._rank()[:MAX_ROWS]:
            if sum(map(len, rows)) >= MAX_BYTES:
                break
            report = self._reports.find_for_sending(vm)
            if report is not None:
                rows.append(pack_row(vm, report))
        return rows

    def _rank(self) -> list[Vm]:
        polled = self._fleet.list_local_backends()
        known = [vm for vm in polled if self._reports.find(vm) is not None]
        return sorted(known, key=self._reports.rank)
