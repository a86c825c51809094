"""Memory that one gateway needs to know the fleet."""

import tracemalloc
import uuid
from collections.abc import Callable
from functools import partial

import msgspec

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.membership import Member, MembershipView
from baobabhinge_gateway.fleet.index import VmIndex
from baobabhinge_platform.machines import Role, Vm

KIBIBYTE = 1024
ADDRESS = '10.0.0.1:7000'
REGIONS = 25


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
    """

    members: int
    members_kib: float
    vms: int
    vms_kib: float


def measure_memory(members: int, vms: int) -> MemoryFigures:
    """Return what records and list hold, as read from JSON."""
    return MemoryFigures(
        members,
        _trace(partial(_build_view, members)),
        vms,
        _trace(partial(_build_index, vms)),
    )


def _trace(build: Callable[[], Callable[[], object]]) -> float:
    decode = build()
    tracemalloc.start()
    held = decode()
    kibibytes = tracemalloc.get_traced_memory()[0] / KIBIBYTE
    tracemalloc.stop()
    return kibibytes if held else 0


def _build_view(count: int) -> Callable[[], MembershipView]:
    encoded = msgspec.json.encode(list(map(_build_member, range(count))))

    def decode() -> MembershipView:
        view = MembershipView(_build_member(count), SystemClock())
        for member in msgspec.json.decode(encoded, type=list[Member]):
            view.table.put(member)
        return view

    return decode


def _build_index(count: int) -> Callable[[], VmIndex]:
    encoded = msgspec.json.encode(list(map(_build_vm, range(count))))

    def decode() -> VmIndex:
        return VmIndex(msgspec.json.decode(encoded, type=list[Vm]))

    return decode


def _build_member(number: int) -> Member:
    place = number % REGIONS
    region = f'region-{place}'
    name = f'{region}-gateway-{number}'
    labels = {'failure_domain': f'{region}-a', 'caller_address': ADDRESS}
    return Member(
        name,
        region,
        uuid.uuid4().hex,
        number,
        address=ADDRESS,
        labels=labels,
    )


def _build_vm(number: int) -> Vm:
    place = number % REGIONS
    region = f'region-{place}'
    name = f'{region}-engine-{number}'
    return Vm(name, ADDRESS, region, f'{region}-a', Role.engine, 'llm')
