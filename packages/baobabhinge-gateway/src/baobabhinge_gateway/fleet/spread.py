"""Load reports as a payload of the heartbeats."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec
import xxhash

from baobabhinge_coordination.membership import Member
from baobabhinge_gateway.fleet.reports import LoadReport, LoadReports
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_platform.machines import Vm

MAX_ROWS = 24
AGE_STEP = timedelta(milliseconds=100)
NAME_BITS = 40
NO_ROWS = b''


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """One report on the wire.

    Parameters
    ----------
    key : int
        Hash of the name of the backend server.
    running, waiting, slots : int
        As in the report.
    age_steps : int
        Age of the report, in steps of 100 ms.
    draining : int
        1 if the backend server takes no new work.
    """

    key: int
    running: int
    waiting: int
    slots: int
    age_steps: int
    draining: int = 0


class LoadPart:
    """Tell the freshest reports to the other gateways of the region.

    Parameters
    ----------
    fleet : FleetView
        Known backend servers.
    reports : LoadReports
        Where reports come from and go to.
    """

    name = 'loads'
    stays_home = True

    __slots__ = ('_fleet', '_reports')

    def __init__(self, fleet: FleetView, reports: LoadReports) -> None:
        """Keep the parts."""
        self._fleet = fleet
        self._reports = reports

    def compose(self) -> bytes:
        """Return the freshest reports; empty bytes if there are none."""
        rows = [
            build_row(vm, report)
            for vm, report in self._list_freshest()[:MAX_ROWS]
        ]
        return msgspec.json.encode(rows) if rows else NO_ROWS

    def absorb(self, sender: Member, body: bytes) -> None:
        """Keep the reports that are fresher than the known ones.

        Raises
        ------
        msgspec.MsgspecError
            If the payload is malformed.
        """
        rows = msgspec.json.decode(body, type=list[LoadRow])
        names = {
            hash_name(vm.name): vm.name for vm in self._fleet.list_polled()
        }
        for row in rows:
            name = names.get(row.key)
            if name is not None:
                self._reports.put(name, convert_row(row))

    def _list_freshest(self) -> Sequence[tuple[Vm, LoadReport]]:
        found = [
            (vm, report)
            for vm in self._fleet.list_polled()
            if (report := self._reports.find(vm)) is not None
        ]
        return sorted(found, key=lambda pair: pair[1].age)


def hash_name(name: str) -> int:
    """Return the number that stands for ``name`` on the wire."""
    return xxhash.xxh3_64_intdigest(name.encode()) % (1 << NAME_BITS)


def build_row(vm: Vm, report: LoadReport) -> LoadRow:
    """Return the row that tells ``report`` of ``vm``."""
    return LoadRow(
        hash_name(vm.name),
        report.running,
        report.waiting,
        report.slots,
        report.age // AGE_STEP,
        int(report.draining),
    )


def convert_row(row: LoadRow) -> LoadReport:
    """Return the report that ``row`` tells."""
    return LoadReport(
        row.running,
        row.waiting,
        row.slots,
        bool(row.draining),
        row.age_steps * AGE_STEP,
    )
