from datetime import timedelta

import msgspec
import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.generations import Release, ReleaseFile
from baobabhinge_coordination.membership import Member, MembershipView
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.calls.models import parse_model_name
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
NONE = ActiveConfiguration()
SECOND = timedelta(seconds=1)
NO_TIME = timedelta()


class Listed:
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
def test_reports_age_and_end(waited, age):
    clock = ManualClock()
    reports = LoadReports(clock)
    reports.put('e1', build_report(age=SECOND))
    clock.advance(waited)
    found = reports.find(build_vm('e1'))
    assert (found and found.age) == age


def test_an_older_report_that_comes_late_is_dropped():
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
def test_only_backend_servers_that_take_work_are_listed(vm, draining, listed):
    reports = LoadReports(ManualClock())
    reports.put('e1', build_report(draining=draining))
    fleet = FleetView(Hop('g1', 'west'), Listed(vm), reports, MEMBERS, NONE)
    assert bool(fleet.list_backends('llm', 'west')) is listed


def test_what_operators_drain_is_not_listed():
    active = ActiveConfiguration()
    drained = ReleaseFile('10.ini', '[drain e1]\nwanted = true\n')
    active.adopt(Release(1, (drained,)))
    listed = Listed(build_vm('e1'), build_vm('e2'))
    reports = LoadReports(ManualClock())
    fleet = FleetView(Hop('g1', 'west'), listed, reports, MEMBERS, active)
    assert fleet.list_backends('llm', 'west') == [build_vm('e2')]


def test_each_backend_server_belongs_to_one_gateway():
    engines = [build_vm(f'e{number}') for number in range(10, 50)]
    gateways = [build_vm(f'g{number}', Role.gateway) for number in range(4)]
    listed = Listed(*engines, *gateways)
    shares = []
    for gateway in gateways:
        hop = Hop(gateway.name, 'west')
        view = FleetView(hop, listed, LoadReports(ManualClock()), MEMBERS, NONE)
        shares.append(list_assigned(view))
    assert all(shares)
    polled = sorted(vm.name for share in shares for vm in share)
    assert polled == [vm.name for vm in engines]


def test_reports_spread_with_their_age_and_stay_in_the_region():
    vm = build_vm('e1')
    clock = ManualClock()
    parts = []
    for name in ('g1', 'g2'):
        reports = LoadReports(clock)
        view = FleetView(Hop(name, 'west'), Listed(vm), reports, MEMBERS, NONE)
        parts.append((LoadReportPart(view, reports), reports))
    (first, near), (second, far) = parts
    models = ('llm@v2', 'llm:covers@v2')
    near.put('e1', build_report(running=7, age=SECOND, models=models))
    clock.advance(SECOND)
    second.absorb(None, first.compose())
    expected = build_report(running=7, age=SECOND * 2, models=models)
    assert far.find(vm) == expected
    assert first.stays_home


@pytest.mark.parametrize('milliseconds', [0, 1, 249, 250, 251, 1130])
def test_a_report_told_back_is_not_newer(milliseconds):
    vm = build_vm('e1')
    reports = LoadReports(ManualClock())
    view = FleetView(Hop('g1', 'west'), Listed(vm), reports, MEMBERS, NONE)
    part = LoadReportPart(view, reports)
    age = timedelta(milliseconds=milliseconds)
    reports.put('e1', build_report(running=7, age=age))
    part.absorb(None, part.compose())
    assert reports.find(vm).age == age


def test_the_age_on_the_wire_is_kept():
    body = b'{"running":1,"waiting":2,"slots":8,"age_ms":250}'
    expected = LoadReport(1, 2, 8, False, timedelta(milliseconds=250))
    assert decode_load(body) == expected


@pytest.mark.parametrize(
    ('asked', 'told', 'offered'),
    [
        ('llm', ('llm@v2',), True),
        ('llm@v2', ('llm@v2',), True),
        ('llm@v1', ('llm@v2',), False),
        ('llm@v2', (), False),
        ('llm:covers@v2', ('llm@v2', 'llm:covers@v2'), True),
        ('llm:covers@v2', ('llm@v2',), False),
    ],
)
def test_an_engine_is_offered_what_it_reports(asked, told, offered):
    vm = build_vm('e1')
    clock = ManualClock()
    reports = LoadReports(clock)
    reports.put('e1', build_report(models=told))
    view = FleetView(Hop('g1', 'west'), Listed(vm), reports, MEMBERS, NONE)
    model = parse_model_name(asked)
    assert view.has_loaded(vm, model) is offered
    clock.advance(REPORT_LIFETIME * 2)
    assert view.has_loaded(vm, model) is offered
    assert not view.has_loaded(build_vm('e2'), parse_model_name('llm@v2'))


def test_many_models_do_not_swell_the_payload():
    names = [f'e{number}' for number in range(40)]
    reports = LoadReports(ManualClock())
    models = [f'llm:a{number}@v1' for number in range(60)]
    vms = [build_vm(name) for name in names]
    for vm in vms:
        reports.put(vm.name, build_report(models=models))
    view = FleetView(Hop('g1', 'west'), Listed(*vms), reports, MEMBERS, NONE)
    part = LoadReportPart(view, reports)
    sizes = [len(msgspec.json.decode(part.compose(), type=bytes)) for _ in vms]
    assert max(sizes) < MAX_BYTES * 2
    assert min(reports.rank(vm)[0] for vm in vms) > 0


@pytest.mark.parametrize('size', [1, 7, 9, 13])
def test_a_cut_report_is_refused(size):
    reports = LoadReports(ManualClock())
    vm = build_vm('e1')
    view = FleetView(Hop('g1', 'west'), Listed(vm), reports, MEMBERS, NONE)
    row = pack_row(vm, build_report(models=('llm@v1', 'llm@v2')))
    with pytest.raises(msgspec.MsgspecError):
        LoadReportPart(view, reports).absorb(
            None, msgspec.json.encode(row[:size])
        )
    assert reports.find(vm) is None
