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
TIMEOUT_NAME = 'baobabhinge_gateway.suspects.notifier.CONFIRMATION_TIMEOUT'
CLAIM_TIMEOUT = timedelta(seconds=20)


def list_contacts():
    return [Member(name, 'west', name, 1).contact for name in NAMES]


class Network:
    """Network of three gateways in one process.

    A test sets how long each gateway delays its answer, and how many requests
    it refuses.
    """

    def __init__(self):
        self.answering = {name: asyncio.Event() for name in NAMES}
        for event in self.answering.values():
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

    async def post(self, contact, path, body, max_wait):
        await asyncio.sleep(0)
        if self.refusals[contact.name]:
            self.refusals[contact.name] -= 1
            raise MemberUnreachableError(contact.name)
        await self.answering[contact.name].wait()
        notice = msgspec.json.decode(body, type=SuspectNotice)
        answer = self.routes[contact.name].answer(notice)
        await asyncio.sleep(0)
        return msgspec.json.encode(answer)


@asynccontextmanager
async def hold_claim(network, name, running):
    async with network.regions[name].hold('x', CLAIM_TIMEOUT):
        running.append(name)
        yield
        running.remove(name)


async def run_suspect(network, name, running, seen):
    async with hold_claim(network, name, running):
        seen.append(tuple(running))
        await asyncio.sleep(0.01)


async def test_a_suspect_waits_until_a_slow_gateway_has_confirmed_it():
    network = Network()
    network.answering['g3'].clear()
    network.ledgers['g1'].record('engine-1', 'x')
    seen = []
    run = asyncio.create_task(run_suspect(network, 'g1', [], seen))
    while network.ledgers['g2'].classify('x') is not SuspectVerdict.suspect:
        await asyncio.sleep(0)
    assert not seen
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.clear
    network.answering['g3'].set()
    await run
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.suspect


async def test_a_notice_is_retried_while_a_gateway_is_unreachable():
    network = Network()
    network.refusals['g2'] = 2
    network.ledgers['g1'].record('engine-1', 'x')
    await run_suspect(network, 'g1', [], [])
    assert network.ledgers['g2'].classify('x') is SuspectVerdict.suspect


async def test_the_timeout_of_an_unreachable_gateway_is_waited_for_once(
    monkeypatch,
):
    timeout = timedelta(milliseconds=50)
    monkeypatch.setattr(TIMEOUT_NAME, timeout)
    network = Network()
    network.answering['g2'].clear()
    network.ledgers['g1'].record('engine-1', 'x')
    seen = []
    await run_suspect(network, 'g1', [], seen)
    monkeypatch.setattr(TIMEOUT_NAME, CLAIM_TIMEOUT)
    await run_suspect(network, 'g1', [], seen)
    assert len(seen) == 2
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.suspect


async def test_a_listed_gateway_recorded_as_dead_is_notified_too():
    network = Network()
    dead = Member('g3', 'west', 'g3', 2, MemberState.dead)
    network.members['g1'].merge(dead)
    network.ledgers['g1'].record('engine-1', 'x')
    await run_suspect(network, 'g1', [], [])
    assert network.ledgers['g3'].classify('x') is SuspectVerdict.suspect


async def test_gateways_run_one_suspect_one_after_another():
    network = Network()
    running, seen = [], []
    await asyncio.gather(
        *(run_suspect(network, name, running, seen) for name in NAMES),
    )
    assert sorted(seen) == [('g1',), ('g2',), ('g3',)]


async def test_acquiring_a_claim_merges_the_crashes_of_its_last_holder():
    network = Network()
    running = []
    network.ledgers['g1'].record('engine-1', 'x')
    async with hold_claim(network, 'g1', running):
        network.ledgers['g1'].record('engine-2', 'x')
    async with hold_claim(network, 'g2', running):
        assert network.ledgers['g2'].classify('x') is SuspectVerdict.culprit
