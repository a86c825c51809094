"""Load reports as a payload of the heartbeats."""

import struct
from collections.abc import Sequence
from datetime import timedelta

import msgspec
import xxhash

from baobabhinge_coordination.membership import Member
from baobabhinge_gateway.fleet.reports import LoadReport, LoadReports
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_platform.machines import Vm

MAX_ROWS = 36
AGE_STEP = timedelta(milliseconds=250)
MAX_BYTE = 0xFF
MAX_AGE_STEPS = 0x7F
DRAINING_FLAG = 0x80
KEY_BYTES = 3
# Hash of the name; running, waiting and slots; age in steps with a flag.
ROW = struct.Struct('>3s4B')
NO_ROWS = b''


class LoadPart:
    """Tell reports to the other gateways of the region.

    Parameters
    ----------
    fleet : FleetView
        Known backend servers.
    reports : LoadReports
        Where reports come from and go to.
    """

    name = 'loads'
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
        if len(packed) % ROW.size:
            raise msgspec.ValidationError('a load report is cut')
        names = self._list_names()
        for key, *fields in ROW.iter_unpack(packed):
            name = names.get(key)
            if name is not None:
                self._reports.put(name, unpack_report(fields))

    def _list_names(self) -> dict[bytes, str]:
        vms = self._fleet.list_polled()
        if vms is not self._named:
            self._named = vms
            self._names = {hash_name(vm.name): vm.name for vm in vms}
        return self._names

    def _take_rows(self) -> list[bytes]:
        polled = self._fleet.list_polled()
        known = [vm for vm in polled if self._reports.find(vm) is not None]
        ranked = sorted(known, key=self._reports.rank)
        return [
            pack_row(vm, report)
            for vm in ranked[:MAX_ROWS]
            if (report := self._reports.take(vm)) is not None
        ]


def hash_name(name: str) -> bytes:
    """Return the bytes that stand for ``name`` on the wire."""
    return xxhash.xxh32_digest(name.encode())[:KEY_BYTES]


def pack_row(vm: Vm, report: LoadReport) -> bytes:
    """Return ``report`` of ``vm`` in the compact form."""
    # Rounded up: an age rounded down would pass for a newer report.
    age_steps = min(-(-report.age // AGE_STEP), MAX_AGE_STEPS)
    flag = DRAINING_FLAG if report.draining else 0
    return ROW.pack(
        hash_name(vm.name),
        min(report.running, MAX_BYTE),
        min(report.waiting, MAX_BYTE),
        min(report.slots, MAX_BYTE),
        age_steps | flag,
    )


def unpack_report(fields: Sequence[int]) -> LoadReport:
    """Return the report whose fields, after the key, are these."""
    flagged_age = fields[-1]
    return LoadReport(
        running=fields[0],
        waiting=fields[1],
        slots=fields[2],
        draining=bool(flagged_age & DRAINING_FLAG),
        age=(flagged_age & MAX_AGE_STEPS) * AGE_STEP,
    )
