"""Gateways offered to callers while list of vms and membership differ."""

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.membership import (
    Member,
    MembershipView,
    MemberState,
)
from baobabhinge_gateway.fleet.gateways import KnownGateways
from baobabhinge_gateway.fleet.index import VmIndex
from baobabhinge_platform.machines import Role, Vm, VmState

OWN = 'west-1'
PEER = 'west-2'
REMOTE = 'east-1'


def build_vm(name, state=VmState.live):
    region = name.partition('-')[0]
    return Vm(name, f'{name}:1', region, '', Role.gateway, '', state)


def build_member(name, state=MemberState.alive):
    region = name.partition('-')[0]
    return Member(name, region, f'{name}/1', 1, state, f'{name}:1')


def list_available(region, members, vms):
    view = MembershipView(build_member(OWN), ManualClock())
    for member in members:
        view.table.put(member)
    return [
        vm.name
        for vm in KnownGateways(view).list_available(region, VmIndex(vms))
    ]


@pytest.mark.parametrize(
    ('members', 'vms', 'expected'),
    [
        pytest.param([], [], [OWN], id='list empty and no peer'),
        pytest.param([], [OWN, PEER], [OWN, PEER], id='no live peer known yet'),
        pytest.param([PEER], [], [OWN, PEER], id='peer alive but not listed'),
        pytest.param(
            ['west-3'],
            [PEER],
            [OWN, 'west-3'],
            id='peer gone but still listed',
        ),
    ],
)
def test_the_membership_overrides_a_lagging_list(members, vms, expected):
    """The list hides new gateways and still names gone ones for a while."""
    known = map(build_member, members)
    listed = list(map(build_vm, vms))
    assert sorted(list_available('west', known, listed)) == expected


@pytest.mark.parametrize(
    ('state', 'expected'),
    [
        (MemberState.alive, [OWN, PEER]),
        (MemberState.draining, [OWN]),
        (MemberState.suspect, [OWN]),
        (MemberState.dead, [OWN]),
    ],
)
def test_only_live_members_are_available(state, expected):
    """A listed gateway may be draining, suspect or dead by its membership."""
    member = build_member(PEER, state)
    assert (
        sorted(list_available('west', [member], [build_vm(PEER)])) == expected
    )


def test_a_gateway_listed_as_leaving_is_not_available():
    """The list may show that a gateway leaves before the membership does."""
    listed = [build_vm(PEER, VmState.leaving)]
    assert list_available('west', [build_member(PEER)], listed) == [OWN]


def test_members_of_another_region_need_a_listed_address():
    """A member of another region without a listed vm is left out."""
    members = [build_member(REMOTE), build_member('east-2')]
    assert list_available('east', members, [build_vm(REMOTE)]) == [REMOTE]
