"""Rates of calls to the key-value service after a long outage.

If all gateways retried at once when the service recovers, they would exceed
its rates and keep it down. The clock is manual; reads that grow with the fleet
are extrapolated to `PLANNED_GATEWAYS`.
"""

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

REGION_COUNT = 25
GATEWAYS_PER_REGION = 32
PLANNED_GATEWAYS = 3200
OUTAGE_TIME = timedelta(minutes=10)
RECOVERY_TIME = timedelta(minutes=3)
SECOND = timedelta(seconds=1)
READS_PER_SECOND = 2000
WRITES_PER_SECOND = 400
FILES_PER_RELEASE = 10
WATCH_TIME = timedelta(seconds=20)
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


class KeyValueService:
    """Key-value service that is unavailable until the outage ends."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = Counter()
        self.sessions = itertools.count()
        self.holders = {}

    def count(self, kind, calls=1):
        second = self.clock.read_monotonic() // SECOND
        self.calls[kind, second] += calls
        if self.clock.read_monotonic() < OUTAGE_TIME:
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
    """Release reader whose first read also reads every file of a release."""

    has_manifest = True

    def __init__(self, service, kind):
        self.service = service
        self.kind = kind
        self.is_fresh = True

    async def read_current(self):
        return await self.wait_for_newer(WATCH_TIME)

    async def wait_for_newer(self, max_wait):
        self.service.count(self.kind)
        if self.is_fresh:
            self.service.count(self.kind, FILES_PER_RELEASE)
        self.is_fresh = False
        return RELEASE


class Fleet:
    def __init__(self, name, names):
        self.own = Hop(name, 'west')
        self.names = names

    def list_gateways(self, region=None):
        return [NamedVm(name) for name in self.names]


class NamedVm:
    def __init__(self, name):
        self.name = name


def list_steps(service, *, is_configured):
    """Return the periodic steps of all gateways that call the service."""
    for region in range(REGION_COUNT):
        names = [f'r{region}-{number}' for number in range(GATEWAYS_PER_REGION)]
        for name in names:
            fleet = Fleet(name, names)
            yield from list_watch_steps(service, fleet, is_configured)
            yield from list_lease_steps(service, fleet, f'leases/{region}')


def list_watch_steps(service, fleet, is_configured):
    active = ActiveConfiguration()
    if is_configured:
        active.adopt(RELEASE)
    name = fleet.own.gateway
    random = Random(f'{SEED}{name}')
    reader = Reader(service, 'grows')
    watcher = ConfigurationWatcher(active, reader, fleet, random)
    is_watcher = watcher._is_watcher()
    if is_watcher:
        reader.kind = 'read'
    if is_watcher or not is_configured:
        yield watcher._update_configuration


def list_lease_steps(service, fleet, key):
    name = fleet.own.gateway
    random = Random(f'{SEED}{name}')
    options = LeaseOptions(key, name)
    lease_client = LeaseClient(service, service, service.clock, options)
    contender = LeaseContender(lease_client, fleet, random)
    if contender._is_contender():
        yield contender._renew_lease


async def run_outage(service, steps):
    """Run every step repeatedly, each after the delay that it returns."""
    numbers = itertools.count()
    due = [(timedelta(), next(numbers), step) for step in steps]
    while due[0][0] < OUTAGE_TIME + RECOVERY_TIME:
        instant, _, step = heapq.heappop(due)
        service.clock.advance(instant - service.clock.read_monotonic())
        # A step without a delay is a watch, which waits at the service.
        delay = await step() or WATCH_TIME
        heapq.heappush(due, (instant + delay, next(numbers), step))


@pytest.mark.parametrize('is_configured', [True, False])
async def test_calls_after_an_outage_stay_below_the_service_rates(
    is_configured,
):
    service = KeyValueService(ManualClock())
    steps = list(list_steps(service, is_configured=is_configured))
    await run_outage(service, steps)
    growth = PLANNED_GATEWAYS / (REGION_COUNT * GATEWAYS_PER_REGION)
    peaks = Counter()
    for (kind, second), calls in service.calls.items():
        if second >= OUTAGE_TIME // SECOND and kind != 'grows':
            grown = service.calls['grows', second] * growth
            added = grown if kind == 'read' else 0
            peaks[kind] = max(peaks[kind], calls + added)
    assert 0 < peaks['read'] < READS_PER_SECOND
    assert 0 < peaks['write'] < WRITES_PER_SECOND
