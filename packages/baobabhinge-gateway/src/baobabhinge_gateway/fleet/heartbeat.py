"""Load reports as a part of the heartbeats."""

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
    """Send load reports to the other gateways of the region.

    Parameters
    ----------
    fleet : FleetView
        Backend servers known to this gateway.
    reports : LoadReports
        Reports that are sent, and to which received ones are added.
    """

    name = 'reports'
    is_region_local = True

    __slots__ = ('_fleet', '_indexed_vms', '_names', '_reports')

    def __init__(self, fleet: FleetView, reports: LoadReports) -> None:
        """Start with an empty index of names."""
        self._fleet = fleet
        self._reports = reports
        self._indexed_vms: Sequence[Vm] = ()
        self._names: dict[bytes, str] = {}

    def compose(self) -> bytes:
        """Return the least often sent reports, the newest first, as JSON.

        At most `MAX_ROWS` rows, with no further row after `MAX_BYTES`.
        """
        rows = self._pack_rows()
        return msgspec.json.encode(b''.join(rows)) if rows else NO_ROWS

    def apply(self, sender: Member, body: bytes) -> None:
        """Store the received reports that are newer than the known ones.

        Raises
        ------
        msgspec.MsgspecError
            If the payload is malformed.
        """
        packed = msgspec.json.decode(body, type=bytes)
        names = self._index_names()
        for digest, report in list(unpack_rows(packed)):
            name = names.get(digest)
            if name is not None:
                self._reports.put(name, report)

    def _index_names(self) -> dict[bytes, str]:
        vms = self._fleet.list_local_backends()
        if vms is not self._indexed_vms:
            self._indexed_vms = vms
            self._names = {digest_name(vm.name): vm.name for vm in vms}
        return self._names

    def _pack_rows(self) -> list[bytes]:
        rows: list[bytes] = []
        for vm in self._list_by_send_rank()[:MAX_ROWS]:
            if sum(map(len, rows)) >= MAX_BYTES:
                break
            report = self._reports.find_for_sending(vm)
            if report is not None:
                rows.append(pack_row(vm, report))
        return rows

    def _list_by_send_rank(self) -> list[Vm]:
        backends = self._fleet.list_local_backends()
        known = [vm for vm in backends if self._reports.find(vm) is not None]
        return sorted(known, key=self._reports.compute_send_rank)
