import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta
from types import SimpleNamespace

import msgspec

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.membership import (
    Member,
    MembershipView,
    MemberState,
    MemberUnreachableError,
)
from baobabhinge_coordination.suspects import (
    RunClaims,
    SuspectLedger,
    SuspectVerdict,
)
from baobabhinge_gateway.suspects.messages import SuspectNotice
from baobabhinge_gateway.suspects.notifier import SuspectNotifier
from baobabhinge_gateway.suspects.region_claims import RegionClaims
from baobabhinge_gateway.suspects.routes import SuspectRoutes

NAMES = ('g1', 'g2', 'g3')
LIMIT = 'baobabhinge_gateway.suspects.notifier.CONFIRMATION_TIMEOUT'
PATIENCE = timedelta(seconds=20)


def list_contacts():
    return [Member(name, 'west', name, 1).contact for name in NAMES]


class Network:
    """Three gateways in one process; a test says how long each is late."""

    def __init__(self):
        self.open = {name: asyncio.Event() for name in NAMES}
        for event in self.open.values():
            event.set()
        self.refusals = dict.fromkeys(NAMES, 0)
        self.ledgers = {}
        self.members = {}
        self.routes = {}
        self.regions = {name: self.build(name) for name in NAMES}

    def build(self, name):
        clock = ManualClock()
        members = MembershipView(Member(name, 'west', name, 1), clock)
        for other in NAMES:
            members.merge(Member(other, 'west', other, 1))
        node = SimpleNamespace(
            members=members,
            client=self,
            addresses=SimpleNamespace(list_contacts=list_contacts),
        )
        self.members[name] = members
        ledger = SuspectLedger(clock)
        claims = RunClaims(name)
        self.ledgers[name] = ledger
        self.routes[name] = SuspectRoutes(ledger, claims)
        return RegionClaims(claims, SuspectNotifier(ledger, node, clock))

    async def post(self, contact, path, body, patience):
        await asyncio.sleep(0)
        if self.refusals[contact.name]:
            self.refusals[contact.name] -= 1
            raise MemberUnreachableError(contact.name)
        await self.open[contact.name].wait()
        notice = msgspec.json.decode(body, type=SuspectNotice)
        answer = self.routes[contact.name].answer(notice)
        await asyncio.sleep(0)
        return msgspec.json.encode(answer)


@asynccontextmanager
async def hold(network, name, running):
    async with network.regions[name].hold('x', PATIENCE):
        running.append(name)
        yield
        running.remove(name)


async def run_once(network, name, running, seen):
    async with hold(network, name, running):
        seen.append(tuple(running))
        await asyncio.sleep(0.01)


async def test_a_suspect_waits_until_a_late_gateway_knows_it():
    network = Network()
    network.open['g3'].clear()
    network.ledgers['g1'].record('engine-1', 'x')
    seen = []
    run = asyncio.create_task(run_once(network, 'g1', [], seen))
    while network.ledgers['g2'].classify('x') is not SuspectVerdict.suspect:
        await asyncio.sleep(0)
    assert not seen
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.clear
    network.open['g3'].set()
    await run
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.suspect


async def test_a_gateway_that_refuses_for_a_moment_confirms_too():
    network = Network()
    network.refusals['g2'] = 2
    network.ledgers['g1'].record('engine-1', 'x')
    await run_once(network, 'g1', [], [])
    assert network.ledgers['g2'].classify('x') is SuspectVerdict.suspect


async def test_a_silent_gateway_is_waited_for_once(monkeypatch):
    limit = timedelta(milliseconds=50)
    monkeypatch.setattr(LIMIT, limit)
    network = Network()
    network.open['g2'].clear()
    network.ledgers['g1'].record('engine-1', 'x')
    seen = []
    await run_once(network, 'g1', [], seen)
    monkeypatch.setattr(LIMIT, PATIENCE)
    await run_once(network, 'g1', [], seen)
    assert len(seen) == 2
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.suspect


async def test_a_listed_gateway_that_is_held_dead_confirms_too():
    network = Network()
    dead = Member('g3', 'west', 'g3', 2, MemberState.dead)
    network.members['g1'].merge(dead)
    network.ledgers['g1'].record('engine-1', 'x')
    await run_once(network, 'g1', [], [])
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.suspect


async def test_two_gateways_do_not_run_one_suspect_at_once():
    network = Network()
    running, seen = [], []
    await asyncio.gather(
        *(run_once(network, name, running, seen) for name in NAMES),
    )
    assert sorted(seen) == [('g1',), ('g2',), ('g3',)]


async def test_the_next_one_knows_of_the_crash_that_the_first_one_saw():
    network = Network()
    running = []
    network.ledgers['g1'].record('engine-1', 'x')
    async with hold(network, 'g1', running):
        network.ledgers['g1'].record('engine-2', 'x')
    async with hold(network, 'g2', running):
        assert network.ledgers['g2'].classify('x') is SuspectVerdict.culprit
