import itertools
import random
from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.membership import (
    Contact,
    Member,
    MembershipProtocol,
    MembershipTiming,
    MembershipView,
    MemberState,
    MemberUnreachableError,
    Prober,
)

TIMING = MembershipTiming()
SEED = 20260


class NoPayloads:
    def compose(self, region):
        return {}

    def apply(self, exchange):
        """Ignore the exchange."""


class Network:
    """Members that answer at once unless one is down or a link is cut."""

    def __init__(self):
        self.clock = ManualClock()
        self.protocols = {}
        self.probers = {}
        self.down = set()
        self.cut_links = set()
        self.start_count = 0

    def start(self, name, region='west', version=None):
        self.start_count += 1
        own = Member(
            name,
            region,
            f'{name}/{self.start_count}',
            version or self.start_count,
            address=name,
        )
        protocol = MembershipProtocol(
            MembershipView(own, self.clock),
            NoPayloads(),
            self.clock,
            random.Random(f'{SEED}{own.incarnation}'),
            TIMING,
        )
        self.protocols[name] = protocol
        self.probers[name] = Prober(
            protocol,
            NetworkTransport(self, name),
            self.clock,
            random.Random(f'{own.incarnation}{SEED}'),
            TIMING,
        )
        self.down.discard(name)

    def reaches(self, source, target):
        return not (
            self.down & {source, target}
            or frozenset((source, target)) in self.cut_links
        )

    async def run_round(self):
        for name, prober in self.probers.items():
            if name not in self.down:
                await prober.probe_local_region()
        self.clock.advance(TIMING.local_interval)

    def read_states(self, target, region='west'):
        tables = [
            protocol.view.table
            for name, protocol in self.protocols.items()
            if name not in self.down
        ]
        known = [table.find(target, region) for table in tables]
        return {member and member.state for member in known}


class NetworkTransport:
    def __init__(self, network, name):
        self.network = network
        self.name = name

    async def exchange(self, contact, request):
        if not self.network.reaches(self.name, contact.address):
            raise MemberUnreachableError(contact.name)
        return self.network.protocols[contact.address].answer(request)

    async def request_probe(self, helper, target):
        return self.network.reaches(
            self.name,
            helper.name,
        ) and self.network.reaches(helper.name, target.name)


@pytest.fixture
def network():
    built = Network()
    for number in range(8):
        built.start(f'g{number}')
    return built


async def join(network):
    for name, prober in network.probers.items():
        if name != 'g0':
            await prober.exchange_with(Contact('', 'west', 'g0'))
    await run_rounds(network, 12)


async def run_rounds(network, count):
    for _ in range(count):
        await network.run_round()


async def test_members_with_one_common_seed_find_each_other(network):
    await join(network)
    for protocol in network.protocols.values():
        assert len(protocol.view.table.list_members('west')) == 8


async def test_all_members_record_a_death_and_remove_the_record_later(network):
    await join(network)
    network.down.add('g3')
    await run_rounds(network, 20)
    assert network.read_states('g3') == {MemberState.dead}
    await run_rounds(
        network, int(TIMING.dead_retention / TIMING.local_interval) + 20
    )
    assert network.read_states('g3') == {None}


async def test_a_member_that_helpers_reach_is_not_suspected(network):
    await join(network)
    network.cut_links.add(frozenset(('g3', 'g1')))
    for _ in range(60):
        await network.run_round()
        assert network.read_states('g3') == {MemberState.alive}


async def test_a_member_that_returns_refutes_its_death(network):
    await join(network)
    network.down.add('g3')
    await run_rounds(network, 20)
    network.down.discard('g3')
    await run_rounds(network, 20)
    assert network.read_states('g3') == {MemberState.alive}


@pytest.mark.parametrize('version', [1, 1000])
async def test_a_restart_replaces_the_old_record_whatever_its_version(
    network,
    version,
):
    await join(network)
    network.start('g3', version=version)
    await network.probers['g3'].exchange_with(Contact('', 'west', 'g0'))
    await run_rounds(network, 20)
    incarnations = {
        protocol.view.table.find('g3', 'west').incarnation
        for protocol in network.protocols.values()
    }
    assert incarnations == {'g3/9'}
    assert network.read_states('g3') == {MemberState.alive}


async def test_a_member_that_missed_every_update_receives_the_records_later(
    network,
):
    await join(network)
    network.start('g8')
    await network.probers['g8'].exchange_with(Contact('', 'west', 'g0'))
    network.down.add('g3')
    network.cut_links.add(frozenset(('g3', 'g8')))
    await run_rounds(network, 60)
    network.down.discard('g3')
    await run_rounds(network, 20)
    assert network.read_states('g8') == {MemberState.alive}


def test_the_death_of_an_unknown_member_is_ignored(network):
    view = network.protocols['g0'].view
    view.merge(Member('g9', 'west', 'g9/1', 1, MemberState.dead))
    assert view.table.find('g9', 'west') is None


def test_a_dead_member_is_left_out_of_the_digest(network):
    table = network.protocols['g0'].view.table
    digest = table.digests['west']
    for state in (MemberState.alive, MemberState.dead):
        table.put(Member('g9', 'west', 'g9/1', 1, state))
    assert table.digests['west'] == digest


async def test_draining_reaches_all_members(network):
    await join(network)
    network.protocols['g5'].view.announce(MemberState.draining)
    await run_rounds(network, 3)
    assert network.read_states('g5') == {MemberState.draining}


async def test_halves_of_a_region_rejoin_after_a_partition(network):
    await join(network)
    names = sorted(network.protocols)
    for pair in itertools.product(names[:4], names[4:]):
        network.cut_links.add(frozenset(pair))
    await run_rounds(network, 30)
    assert MemberState.dead in network.read_states('g0')
    network.cut_links.clear()
    contacts = [Contact(name, 'west', name) for name in names]
    for prober in network.probers.values():
        await prober.probe_undiscovered(contacts)
    await run_rounds(network, 30)
    for name in names:
        assert network.read_states(name) == {MemberState.alive}


async def test_members_of_an_unreachable_region_are_not_suspected(network):
    await join(network)
    network.start('e0', 'east')
    await network.probers['e0'].exchange_with(Contact('', 'west', 'g0'))
    await run_rounds(network, 12)
    network.cut_links.update(
        frozenset(('e0', name)) for name in network.protocols
    )
    for _ in range(20):
        for prober in network.probers.values():
            await prober.probe_remote_region()
        await network.run_round()
    assert network.read_states('e0', 'east') == {MemberState.alive}


async def test_a_paused_member_does_not_suspect_the_others(network):
    await join(network)
    prober = network.probers['g0']

    async def fail_after_pause(contact, request):
        network.clock.advance(timedelta(minutes=1))
        raise MemberUnreachableError(contact.name)

    prober._transport.exchange = fail_after_pause
    prober._transport.request_probe = refuse_probe_request
    await prober.probe_local_region()
    for number in range(8):
        assert network.read_states(f'g{number}') == {MemberState.alive}


async def refuse_probe_request(helper, target):
    return False
