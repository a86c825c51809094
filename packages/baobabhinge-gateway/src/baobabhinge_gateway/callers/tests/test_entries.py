from collections import Counter
from datetime import timedelta

import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer

from baobabhinge_gateway.callers.entries import EntryList, EntryReport
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.lifecycle import create_lifecycle
from baobabhinge_gateway.web_application import build_app
from baobabhinge_platform.machines import Role, Vm
from baobabhinge_settings import Settings
from baobabhinge_settings.model import Link

REGIONS = {'w': 'west', 'e': 'east', 'n': 'north', 's': 'south', 'i': 'isle'}
HOME = ('w1', 'w2', 'w3')
FOREIGN = ('e1', 'i1', 'i2', 'n1', 's1')
LINKS = (
    Link('east', 'west', timedelta(milliseconds=90), 1),
    Link('west', 'north', timedelta(milliseconds=80), 1),
    Link('west', 'south', timedelta(milliseconds=80), 1),
    Link('east', 'isle', timedelta(milliseconds=10), 1),
)
CALLERS = [f'caller-{number}' for number in range(90)]


class StaticFleet:
    """Gateways of five regions, as seen from w1."""

    def __init__(self):
        self.own = Hop('w1', 'west')
        self.names = [*HOME, *FOREIGN]

    def list_gateways(self):
        return [build_vm(name) for name in self.names]


class StaticConfiguration:
    """Settings that a test may set; none at first."""

    def __init__(self):
        self.settings = None

    def find_settings(self):
        return self.settings


def build_vm(name):
    region = REGIONS[name[0]]
    return Vm(name, f'{name}:1', region, f'{region}-a', Role.gateway)


@pytest.fixture
async def fleet():
    return StaticFleet()


@pytest.fixture
async def active():
    return StaticConfiguration()


@pytest.fixture
async def client(fleet, active):
    report = EntryReport(fleet, create_lifecycle(), active)
    async with TestClient(TestServer(build_app([report]))) as client:
        yield client


async def list_names(client, caller=None):
    query = {} if caller is None else {'caller': caller}
    async with client.get('/v1/entries', params=query) as answer:
        listed = msgspec.json.decode(await answer.read(), type=EntryList)
    return [entry.vm for entry in listed.entries]


async def list_first(client, region=HOME):
    """Return the first listed gateway of ``region`` for each caller."""
    listed = {caller: await list_names(client, caller) for caller in CALLERS}
    return {
        caller: next(name for name in names if name in region)
        for caller, names in listed.items()
    }


@pytest.mark.parametrize('caller', [None, '', 'desk', 'x' * 5000])
async def test_local_gateways_come_first(client, caller):
    names = await list_names(client, caller)
    assert sorted(names[:3]) == list(HOME)
    assert sorted(names[3:]) == list(FOREIGN)
    assert names == await list_names(client, caller)


async def test_remote_regions_are_sorted_by_latency(client, active):
    active.settings = Settings({}, {}, links=LINKS)
    for caller in CALLERS:
        names = await list_names(client, caller)
        assert sorted(names[:3]) == list(HOME)
        assert sorted(names[3:5]) == ['n1', 's1']
        assert names[5] == 'e1'
        assert sorted(names[6:]) == ['i1', 'i2']


async def test_callers_are_spread_over_regions_of_equal_latency(client, active):
    active.settings = Settings({}, {}, links=LINKS)
    counts = Counter((await list_first(client, FOREIGN)).values())
    assert counts.keys() == {'n1', 's1'}
    assert max(counts.values()) <= 2 * min(counts.values())


async def test_callers_are_spread_over_the_local_gateways(client):
    counts = Counter((await list_first(client)).values())
    assert counts.keys() == {'w1', 'w2', 'w3'}
    assert max(counts.values()) <= 2 * min(counts.values())


async def test_only_callers_of_a_removed_gateway_move(client, fleet):
    before = await list_first(client)
    fleet.names.remove('w2')
    after = await list_first(client)
    moved = {caller for caller in CALLERS if before[caller] != after[caller]}
    assert moved == {caller for caller in CALLERS if before[caller] == 'w2'}
