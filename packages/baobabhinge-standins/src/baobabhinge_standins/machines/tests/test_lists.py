"""Lag and outages of the lists."""

from contextlib import asynccontextmanager
from datetime import timedelta

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.machines.app import DocumentApp, ListFaults


@asynccontextmanager
async def run_lists(clock):
    async with (
        TestServer(DocumentApp(clock).build()) as server,
        aiohttp.ClientSession() as http,
    ):
        yield ControlClient(http, str(server.make_url('/')).rstrip('/'))


@pytest.mark.parametrize(
    ('lag', 'waited', 'expected'),
    [(0, 0, b'2'), (5, 4, b'1'), (5, 5, b'2'), (60, 5, b'1')],
)
async def test_lag(lag, waited, expected):
    clock = ManualClock()
    async with run_lists(clock) as lists:
        await lists.send('PUT', '-/faults', ListFaults(lag_seconds=lag))
        await lists.send('PUT', 'vms/a', 1)
        assert await lists.send('GET', 'vms/a', None) == b'1'
        await lists.send('PUT', 'vms/a', 2)
        clock.advance(timedelta(seconds=waited))
        assert await lists.send('GET', 'vms/a', None) == expected


async def test_outage():
    async with run_lists(ManualClock()) as lists:
        await lists.send('PUT', 'vms/a', 1)
        await lists.send('PUT', '-/faults', ListFaults(down=True))
        with pytest.raises(aiohttp.ClientResponseError):
            await lists.send('GET', 'vms/a', None)
        await lists.send('PUT', '-/faults', ListFaults())
        assert await lists.send('GET', 'vms/a', None) == b'1'
