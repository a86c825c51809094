"""Calls to the key-value service around a long outage, on a manual clock."""

import heapq
import itertools
from collections import Counter
from datetime import timedelta
from random import Random

import pytest

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.generations import Release, ReleaseFile
from baobabhinge_coordination.leases import LeaseClient, LeaseOptions
from baobabhinge_coordination.store import StoredValue, StoreUnavailableError
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import (
    ActiveConfiguration,
    ConfigurationWatcher,
)
from baobabhinge_gateway.orders.lease_contender import LeaseContender

REGIONS = 25
GATEWAYS = 32
GATEWAYS_TO_COME = 3200
OUTAGE = timedelta(minutes=10)
RECOVERY = timedelta(minutes=3)
SECOND = timedelta(seconds=1)
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400
BODIES = 10
WATCH = timedelta(seconds=20)
SEED = 10
TEXT = """[region west]
failure-domains = west-a
[service llm]
kind = model
deadline = 9 s
[placement llm west]
replicas = 1 vms
"""
RELEASE = Release(1, (ReleaseFile('10.ini', TEXT, 1),))


class Service:
    """Key-value service that is down until the outage ends."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = Counter()
        self.sessions = itertools.count()
        self.holders = {}

    def count(self, kind, calls=1):
        second = self.clock.read_monotonic() // SECOND
        self.calls[kind, second] += calls
        if self.clock.read_monotonic() < OUTAGE:
            raise StoreUnavailableError

    async def read(self, key):
        self.count('read')
        return StoredValue(key, b'', 1, self.holders.get(key))

    async def grant(self, time_to_live):
        self.count('write')
        return str(next(self.sessions))

    async def renew(self, session):
        self.count('write')
        return True

    async def acquire(self, key, body, session):
        self.count('write')
        self.holders.setdefault(key, session)


class Reader:
    """Reader of releases that reads every file of the first one."""

    has_manifest = True

    def __init__(self, service, kind):
        self.service = service
        self.kind = kind
        self.is_fresh = True

    async def read_current(self):
        return await self.wait_for_newer(WATCH)

    async def wait_for_newer(self, max_wait):
        self.service.count(self.kind)
        if self.is_fresh:
            self.service.count(self.kind, BODIES)
        self.is_fresh = False
        return RELEASE


class Fleet:
    def __init__(self, name, names):
        self.own = Hop(name, 'west')
        self.names = names

    def list_gateways(self, region=None):
        return [Named(name) for name in self.names]


class Named:
    def __init__(self, name):
        self.name = name


def build_steps(service, *, is_configured):
    """Return the steps of every gateway that calls the service."""
    for region in range(REGIONS):
        names = [f'r{region}-{number}' for number in range(GATEWAYS)]
        for name in names:
            fleet = Fleet(name, names)
            yield from build_watch(service, fleet, is_configured)
            yield from build_contention(service, fleet, f'leases/{region}')


def build_watch(service, fleet, is_configured):
    active = ActiveConfiguration()
    if is_configured:
        active.adopt(RELEASE)
    name = fleet.own.gateway
    random = Random(f'{SEED}{name}')
    reader = Reader(service, 'grows')
    watcher = ConfigurationWatcher(active, reader, fleet, random)
    is_watcher = watcher._ranks_among_watchers()
    if is_watcher:
        reader.kind = 'read'
    if is_watcher or not is_configured:
        yield watcher._learn


def build_contention(service, fleet, key):
    name = fleet.own.gateway
    random = Random(f'{SEED}{name}')
    terms = LeaseOptions(key, name)
    keeper = LeaseClient(service, service, service.clock, terms)
    contender = LeaseContender(keeper, fleet, random)
    if contender._is_contender():
        yield contender._renew_lease


async def run_outage(service, steps):
    """Run every step, each again after the pause that it asks for."""
    numbers = itertools.count()
    due = [(timedelta(), next(numbers), step) for step in steps]
    while due[0][0] < OUTAGE + RECOVERY:
        moment, _, step = heapq.heappop(due)
        service.clock.advance(moment - service.clock.read_monotonic())
        # A step without a pause is a watch, which waits at the service.
        pause = await step() or WATCH
        heapq.heappush(due, (moment + pause, next(numbers), step))


@pytest.mark.parametrize('is_configured', [True, False])
async def test_recovery_stays_below_the_rates_of_the_service(is_configured):
    service = Service(ManualClock())
    steps = list(build_steps(service, is_configured=is_configured))
    await run_outage(service, steps)
    growth = GATEWAYS_TO_COME / (REGIONS * GATEWAYS)
    peaks = Counter()
    for (kind, second), calls in service.calls.items():
        if second >= OUTAGE // SECOND and kind != 'grows':
            grown = service.calls['grows', second] * growth
            added = grown if kind == 'read' else 0
            peaks[kind] = max(peaks[kind], calls + added)
    assert 0 < peaks['read'] < READS_PER_SECOND
    assert 0 < peaks['write'] < WRITES_PER_SECOND
