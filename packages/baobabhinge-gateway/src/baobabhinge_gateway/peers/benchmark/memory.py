"""Memory that one gateway needs to know the fleet."""

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
    """What was found, in KiB.

    Parameters
    ----------
    members : int
        Gateways known.
    members_kib : float
        Their records.
    vms : int
        Vms listed.
    vms_kib : float
        The list with its index.
    reports : int
        Backend servers of the region whose load other gateways told.
    reports_kib : float
        Their newest reports.
    """

    members: int
    members_kib: float
    vms: int
    vms_kib: float
    reports: int
    reports_kib: float


def measure_memory(members: int, vms: int, reports: int) -> MemoryFigures:
    """Return what records, list and reports hold, as read from messages."""
    return MemoryFigures(
        members,
        _trace(partial(_build_view, members)),
        vms,
        _trace(partial(_build_index, vms)),
        reports,
        _trace(partial(_build_reports, reports)),
    )


def _trace(build: Callable[[], Callable[[], object]]) -> float:
    decode = build()
    tracemalloc.start()
    held = decode()
    kibibytes = tracemalloc.get_traced_memory()[0] / KIBIBYTE
    tracemalloc.stop()
    return kibibytes if held else 0


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
        kept = LoadReports(SystemClock())
        for number, (_, report) in enumerate(unpack_rows(packed)):
            kept.put(f'engine-{number}', report)
        return kept

    return decode
