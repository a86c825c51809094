"""Ranges, rate limit and outages of the weight store."""

from contextlib import asynccontextmanager
from datetime import timedelta

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from baobabhinge_coordination.clock import ManualClock, SystemClock
from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.engine.loading import RANGE_BYTES, WeightReader
from baobabhinge_standins.engine.models import LoadedModel
from baobabhinge_standins.weights.app import WeightApp, WeightFaults

SIZE = 1000


@asynccontextmanager
async def run_store(clock, size=SIZE):
    async with (
        TestServer(WeightApp(clock, size).build()) as server,
        aiohttp.ClientSession() as http,
    ):
        address = str(server.make_url('/')).rstrip('/')
        yield ControlClient(http, address), http, address


async def read(http, address, asked='bytes=0-99'):
    async with http.get(
        f'{address}/weights/llm/v3',
        headers={'Range': asked},
    ) as answer:
        return answer.status, answer.headers, len(await answer.read())


@pytest.mark.parametrize(
    ('asked', 'status', 'size', 'content'),
    [
        ('bytes=0-99', 206, 100, 'bytes 0-99/1000'),
        ('bytes=950-1049', 206, 50, 'bytes 950-999/1000'),
        ('bytes=990-', 206, 10, 'bytes 990-999/1000'),
    ],
)
async def test_range(asked, status, size, content):
    async with run_store(ManualClock()) as (_, http, address):
        answer = await read(http, address, asked)
    assert (answer[0], answer[2]) == (status, size)
    assert answer[1]['Content-Range'] == content


async def test_rate_limit_tells_when_to_come_back():
    clock = ManualClock()
    async with run_store(clock) as (control, http, address):
        faults = WeightFaults(bytes_per_second=50)
        await control.send('PUT', '-/faults', faults)
        assert (await read(http, address))[0] == 206
        status, headers, _ = await read(http, address)
        assert (status, headers['Retry-After']) == (429, '1')
        clock.advance(timedelta(seconds=1))
        assert (await read(http, address))[0] == 206


@pytest.mark.parametrize('ranges', [1, 2.5])
async def test_engine_reads_all_weights_at_the_limited_rate(ranges):
    size = int(ranges * RANGE_BYTES)
    async with run_store(SystemClock(), size) as (control, _, address):
        rate = WeightFaults(bytes_per_second=RANGE_BYTES)
        await control.send('PUT', '-/faults', rate)
        reader = WeightReader(address)
        assert await reader.read(LoadedModel('llm', 'v3')) == size


async def test_outage():
    async with run_store(ManualClock()) as (control, http, address):
        await control.send('PUT', '-/faults', WeightFaults(down=True))
        assert (await read(http, address))[0] == 500
        await control.send('PUT', '-/faults', WeightFaults())
        assert (await read(http, address))[0] == 206
