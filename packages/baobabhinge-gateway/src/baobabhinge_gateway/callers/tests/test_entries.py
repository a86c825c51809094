from collections import Counter

import msgspec
import pytest
from aiohttp.test_utils import TestClient, TestServer

from baobabhinge_gateway.callers.entries import EntryList, EntryReport
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.lifecycle import create_lifecycle
from baobabhinge_gateway.routes import build_app
from baobabhinge_platform.machines import Role, Vm

NAMES = ('w1', 'w2', 'w3', 'e1')
CALLERS = [f'caller-{number}' for number in range(90)]


class Listed:
    """Gateways of two regions, seen from w1."""

    def __init__(self):
        self.home = Hop('w1', 'west')
        self.names = list(NAMES)

    def list_gateways(self):
        return [build_vm(name) for name in self.names]


def build_vm(name):
    region = 'west' if name.startswith('w') else 'east'
    return Vm(name, f'{name}:1', region, f'{region}-a', Role.gateway)


@pytest.fixture
async def fleet():
    return Listed()


@pytest.fixture
async def client(fleet):
    report = EntryReport(fleet, create_lifecycle())
    async with TestClient(TestServer(build_app([report]))) as client:
        yield client


async def list_names(client, caller=None):
    query = {} if caller is None else {'caller': caller}
    async with client.get('/v1/entries', params=query) as answer:
        listed = msgspec.json.decode(await answer.read(), type=EntryList)
    return [entry.vm for entry in listed.entries]


async def list_first(client):
    return {caller: (await list_names(client, caller))[0] for caller in CALLERS}


@pytest.mark.parametrize('caller', [None, '', 'desk', 'x' * 5000])
async def test_gateways_of_the_region_come_first(client, caller):
    names = await list_names(client, caller)
    assert sorted(names) == sorted(NAMES)
    assert names[-1] == 'e1'
    assert names == await list_names(client, caller)


async def test_callers_are_spread_over_the_gateways_of_the_region(client):
    counts = Counter((await list_first(client)).values())
    assert counts.keys() == {'w1', 'w2', 'w3'}
    assert max(counts.values()) <= 2 * min(counts.values())


async def test_only_callers_of_a_gateway_that_leaves_move(client, fleet):
    before = await list_first(client)
    fleet.names.remove('w2')
    after = await list_first(client)
    moved = {caller for caller in CALLERS if before[caller] != after[caller]}
    assert moved == {caller for caller in CALLERS if before[caller] == 'w2'}
