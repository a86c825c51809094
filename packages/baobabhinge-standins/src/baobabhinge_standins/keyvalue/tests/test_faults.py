"""Faults, rates and counts of the key-value service."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import TestServer

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.keyvalue.app import KeyValueApp
from baobabhinge_standins.keyvalue.calls import CallCounts, RateLimit
from baobabhinge_standins.keyvalue.faults import StoreFaults

PAUSE = 0.2


class RunningStore:
    def __init__(self, http, address):
        self.http = http
        self.address = address
        self.control = ControlClient(http, address)

    async def call(self, method, path, body=b'1'):
        sent = None if method == 'GET' else body
        async with self.http.request(
            method,
            f'{self.address}/v1/{path}',
            data=sent,
        ) as answer:
            return answer.status

    async def set(self, **faults):
        await self.control.send('PUT', '-/faults', StoreFaults(**faults))

    async def count(self):
        body = await self.control.send('GET', '-/calls', None)
        return msgspec.json.decode(body, type=CallCounts)


@asynccontextmanager
async def run_store():
    async with (
        TestServer(KeyValueApp().build()) as server,
        aiohttp.ClientSession() as http,
    ):
        yield RunningStore(http, str(server.make_url('/')).rstrip('/'))


async def test_outage_has_no_effect():
    async with run_store() as store:
        await store.set(down=True)
        assert await store.call('PUT', 'kv/a') == 500
        await store.set()
        assert await store.call('GET', 'kv/a') == 404


async def test_lost_answer_has_its_effect():
    async with run_store() as store:
        await store.set(lose_answers=2)
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await store.call('PUT', 'kv/a?cas=0')
        assert await store.call('GET', 'kv/a') == 200
        assert await store.call('PUT', 'kv/a') == 200


async def test_slow_store_answers_late():
    async with run_store() as store:
        await store.set(slow_seconds=PAUSE)
        started = asyncio.get_running_loop().time()
        assert await store.call('PUT', 'kv/a') == 200
        assert asyncio.get_running_loop().time() - started >= PAUSE


@pytest.mark.parametrize(
    ('limits', 'method'),
    [({'writes_per_second': 3}, 'PUT'), ({'reads_per_second': 3}, 'GET')],
)
async def test_rate_limit(limits, method):
    async with run_store() as store:
        await store.call('PUT', 'kv/a')
        await store.set(**limits)
        statuses = [await store.call(method, 'kv/a') for _ in range(9)]
        counts = await store.count()
    assert 429 in statuses
    assert counts.limited == statuses.count(429)


@pytest.mark.parametrize(
    ('pause', 'expected'),
    [(0, [True, True, False]), (1, [True, True, True])],
)
def test_rate_is_counted_by_the_second(pause, expected):
    clock = ManualClock()
    limit = RateLimit(clock, 2)
    admitted = [limit.admit(), limit.admit()]
    clock.advance(timedelta(seconds=pause))
    admitted.append(limit.admit())
    assert admitted == expected


async def test_calls_are_counted_by_kind():
    async with run_store() as store:
        await store.call('PUT', 'kv/a')
        await store.call('GET', 'kv/a')
        await store.call('GET', 'kv/a?index=1&wait=0.1s')
        await store.call('PUT', 'session/create', b'{"TTL":"10s"}')
        assert await store.count() == CallCounts(1, 1, 1, 1, 0)
