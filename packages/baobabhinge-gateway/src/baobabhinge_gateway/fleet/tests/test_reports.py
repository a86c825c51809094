"""Load reports: their age, their exchange, and the servers they exclude."""

from datetime import timedelta

import msgspec
import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.generations import Release, ReleaseFile
from baobabhinge_coordination.membership import Member, MembershipView
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.calls.model_names import parse_model_name
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import (
    FleetView,
    LoadReport,
    LoadReportPart,
    LoadReports,
)
from baobabhinge_gateway.fleet.assignment import list_assigned
from baobabhinge_gateway.fleet.digests import digest_name
from baobabhinge_gateway.fleet.heartbeat import MAX_BYTES
from baobabhinge_gateway.fleet.index import VmIndex
from baobabhinge_gateway.fleet.load_answers import decode_load
from baobabhinge_gateway.fleet.reports import REPORT_LIFETIME
from baobabhinge_gateway.fleet.rows import pack_row
from baobabhinge_platform.machines import Role, Vm, VmState

MEMBERS = MembershipView(Member('g0', 'west', 'g0/1', 1), ManualClock())
NO_CONFIGURATION = ActiveConfiguration()
SECOND = timedelta(seconds=1)
NO_TIME = timedelta()


class FixedWatcher:
    """Watcher with a fixed list of vms."""

    def __init__(self, *vms):
        self.index = VmIndex(vms)


def build_vm(name, role=Role.engine, state=VmState.live):
    return Vm(name, f'{name}:1', 'west', 'west-a', role, 'llm', state)


def build_report(running=1, age=NO_TIME, *, draining=False, models=()):
    digests = frozenset(digest_name(name) for name in models)
    return LoadReport(running, 0, 8, draining, age, digests)


@pytest.mark.parametrize(
    ('waited', 'age'),
    [
        (timedelta(), SECOND),
        (SECOND, SECOND * 2),
        (REPORT_LIFETIME, None),
    ],
)
def test_a_report_ages_and_expires(waited, age):
    clock = ManualClock()
    reports = LoadReports(clock)
    reports.put('e1', build_report(age=SECOND))
    clock.advance(waited)
    found = reports.find(build_vm('e1'))
    assert (found and found.age) == age


def test_an_older_report_that_arrives_later_is_dropped():
    """Reports arrive through several peers, so also out of order."""
    reports = LoadReports(ManualClock())
    reports.put('e1', build_report(running=5, age=SECOND))
    assert not reports.put('e1', build_report(running=9, age=SECOND * 2))
    assert reports.find(build_vm('e1')).running == 5


@pytest.mark.parametrize(
    ('vm', 'draining', 'listed'),
    [
        (build_vm('e1'), False, True),
        (build_vm('e1'), True, False),
        (build_vm('e1', state=VmState.leaving), False, False),
        (build_vm('e1', role=Role.gateway), False, False),
    ],
)
def test_only_available_backend_servers_are_listed(vm, draining, listed):
    """Draining and leaving backend servers must get no new work."""
    reports = LoadReports(ManualClock())
    reports.put('e1', build_report(draining=draining))
    fleet = FleetView(
        Hop('g1', 'west'),
        FixedWatcher(vm),
        reports,
        MEMBERS,
        NO_CONFIGURATION,
    )
    assert bool(fleet.list_backends('llm', 'west')) is listed


def test_a_backend_server_drained_by_operators_is_not_listed():
    active = ActiveConfiguration()
    drained = ReleaseFile('10.ini', '[drain e1]\nwanted = true\n')
    active.adopt(Release(1, (drained,)))
    listed = FixedWatcher(build_vm('e1'), build_vm('e2'))
    reports = LoadReports(ManualClock())
    fleet = FleetView(Hop('g1', 'west'), listed, reports, MEMBERS, active)
    assert fleet.list_backends('llm', 'west') == [build_vm('e2')]


def test_each_backend_server_is_polled_by_one_gateway():
    """Otherwise some are not polled, or polled by all gateways."""
    engines = [build_vm(f'e{number}') for number in range(10, 50)]
    gateways = [build_vm(f'g{number}', Role.gateway) for number in range(4)]
    listed = FixedWatcher(*engines, *gateways)
    shares = []
    for gateway in gateways:
        hop = Hop(gateway.name, 'west')
        view = FleetView(
            hop,
            listed,
            LoadReports(ManualClock()),
            MEMBERS,
            NO_CONFIGURATION,
        )
        shares.append(list_assigned(view))
    assert all(shares)
    polled = sorted(vm.name for share in shares for vm in share)
    assert polled == [vm.name for vm in engines]


def test_a_sent_report_keeps_its_age_and_stays_in_the_region():
    """A report must not look new because it has just been received."""
    vm = build_vm('e1')
    clock = ManualClock()
    parts = []
    for name in ('g1', 'g2'):
        reports = LoadReports(clock)
        view = FleetView(
            Hop(name, 'west'),
            FixedWatcher(vm),
            reports,
            MEMBERS,
            NO_CONFIGURATION,
        )
        parts.append((LoadReportPart(view, reports), reports))
    (first, sent), (second, received) = parts
    models = ('llm@v2', 'llm:covers@v2')
    sent.put('e1', build_report(running=7, age=SECOND, models=models))
    clock.advance(SECOND)
    second.apply(None, first.compose())
    expected = build_report(running=7, age=SECOND * 2, models=models)
    assert received.find(vm) == expected
    assert first.is_region_local


@pytest.mark.parametrize('milliseconds', [0, 1, 249, 250, 251, 1130])
def test_a_report_sent_back_is_not_newer(milliseconds):
    """Rounding of the age must not make a received copy appear newer."""
    vm = build_vm('e1')
    reports = LoadReports(ManualClock())
    view = FleetView(
        Hop('g1', 'west'),
        FixedWatcher(vm),
        reports,
        MEMBERS,
        NO_CONFIGURATION,
    )
    part = LoadReportPart(view, reports)
    age = timedelta(milliseconds=milliseconds)
    reports.put('e1', build_report(running=7, age=age))
    part.apply(None, part.compose())
    assert reports.find(vm).age == age


def test_the_age_in_a_load_answer_is_kept():
    body = b'{"running":1,"waiting":2,"slots":8,"age_ms":250}'
    expected = LoadReport(1, 2, 8, False, timedelta(milliseconds=250))
    assert decode_load(body) == expected


@pytest.mark.parametrize(
    ('requested', 'reported', 'offered'),
    [
        ('llm', ('llm@v2',), True),
        ('llm@v2', ('llm@v2',), True),
        ('llm@v1', ('llm@v2',), False),
        ('llm@v2', (), False),
        ('llm:covers@v2', ('llm@v2', 'llm:covers@v2'), True),
        ('llm:covers@v2', ('llm@v2',), False),
    ],
)
def test_an_engine_is_offered_only_models_that_it_reports(
    requested,
    reported,
    offered,
):
    """Models count as loaded even past the lifetime of the report."""
    vm = build_vm('e1')
    clock = ManualClock()
    reports = LoadReports(clock)
    reports.put('e1', build_report(models=reported))
    view = FleetView(
        Hop('g1', 'west'),
        FixedWatcher(vm),
        reports,
        MEMBERS,
        NO_CONFIGURATION,
    )
    model = parse_model_name(requested)
    assert view.has_loaded(vm, model) is offered
    clock.advance(REPORT_LIFETIME * 2)
    assert view.has_loaded(vm, model) is offered
    assert not view.has_loaded(build_vm('e2'), parse_model_name('llm@v2'))


def test_many_models_do_not_exceed_the_size_of_a_heartbeat_part():
    """Rows with many models are split over several heartbeats."""
    names = [f'e{number}' for number in range(40)]
    reports = LoadReports(ManualClock())
    models = [f'llm:a{number}@v1' for number in range(60)]
    vms = [build_vm(name) for name in names]
    for vm in vms:
        reports.put(vm.name, build_report(models=models))
    view = FleetView(
        Hop('g1', 'west'),
        FixedWatcher(*vms),
        reports,
        MEMBERS,
        NO_CONFIGURATION,
    )
    part = LoadReportPart(view, reports)
    sizes = [len(msgspec.json.decode(part.compose(), type=bytes)) for _ in vms]
    assert max(sizes) < MAX_BYTES * 2
    assert min(reports.compute_send_rank(vm)[0] for vm in vms) > 0


@pytest.mark.parametrize('size', [1, 7, 9, 13])
def test_a_truncated_report_is_refused(size):
    reports = LoadReports(ManualClock())
    vm = build_vm('e1')
    view = FleetView(
        Hop('g1', 'west'),
        FixedWatcher(vm),
        reports,
        MEMBERS,
        NO_CONFIGURATION,
    )
    row = pack_row(vm, build_report(models=('llm@v1', 'llm@v2')))
    with pytest.raises(msgspec.MsgspecError):
        LoadReportPart(view, reports).apply(
            None,
            msgspec.json.encode(row[:size]),
        )
    assert reports.find(vm) is None
