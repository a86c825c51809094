"""Memory that one gateway needs for the state of the fleet."""

import tracemalloc
from collections.abc import Callable
from functools import partial

import msgspec

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.membership import Member, MembershipView
from baobabhinge_gateway.fleet.index import VmIndex
from baobabhinge_gateway.fleet.reports import LoadReports
from baobabhinge_gateway.fleet.rows import pack_row, unpack_rows
from baobabhinge_gateway.peers.benchmark.samples import (
    build_member,
    build_region_name,
    build_report,
    build_vm,
    encode_vms,
)
from baobabhinge_platform.machines import decode_vms

KIBIBYTE = 1024


class MemoryFigures(msgspec.Struct, frozen=True):
    """Memory of the members, vms and load reports.

    Parameters
    ----------
    members : int
        Number of known gateways.
    members_kib : float
        Memory of their records, in KiB.
    vms : int
        Number of listed vms.
    vms_kib : float
        Memory of the list and its index, in KiB.
    reports : int
        Number of backend servers of the region with received load reports.
    reports_kib : float
        Memory of their newest reports, in KiB.
    """

    members: int
    members_kib: float
    vms: int
    vms_kib: float
    reports: int
    reports_kib: float


def measure_memory(members: int, vms: int, reports: int) -> MemoryFigures:
    """Return the memory of records, list and reports decoded from messages."""
    return MemoryFigures(
        members,
        _measure_kib(partial(_build_view, members)),
        vms,
        _measure_kib(partial(_build_index, vms)),
        reports,
        _measure_kib(partial(_build_reports, reports)),
    )


def _measure_kib(build: Callable[[], Callable[[], object]]) -> float:
    decode = build()
    tracemalloc.start()
    decoded = decode()
    kibibytes = tracemalloc.get_traced_memory()[0] / KIBIBYTE
    tracemalloc.stop()
    return kibibytes if decoded else 0


def _build_view(count: int) -> Callable[[], MembershipView]:
    encoded = msgspec.json.encode(list(map(build_member, range(count))))

    def decode() -> MembershipView:
        view = MembershipView(build_member(count), SystemClock())
        for member in msgspec.json.decode(encoded, type=list[Member]):
            view.table.put(member)
        return view

    return decode


def _build_index(count: int) -> Callable[[], VmIndex]:
    encoded = encode_vms(map(build_vm, range(count)))

    def decode() -> VmIndex:
        return VmIndex(decode_vms(encoded, build_region_name(0)))

    return decode


def _build_reports(count: int) -> Callable[[], LoadReports]:
    packed = b''.join(
        pack_row(build_vm(number), build_report(number))
        for number in range(count)
    )

    def decode() -> LoadReports:
        reports = LoadReports(SystemClock())
        for number, (_, report) in enumerate(unpack_rows(packed)):
            reports.put(f'engine-{number}', report)
        return reports

    return decode
