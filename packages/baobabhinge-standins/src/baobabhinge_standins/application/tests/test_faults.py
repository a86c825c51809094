import asyncio
from datetime import timedelta

import aiohttp
import msgspec
from aiohttp.test_utils import TestServer

from baobabhinge_standins.application.assembly import build_application
from baobabhinge_standins.application.messages import ApplicationFaults
from baobabhinge_standins.control import ControlClient

PATIENCE = 10


async def wait_run(control):
    async with asyncio.timeout(PATIENCE):
        while not msgspec.json.decode(await control.send('GET', '-/runs', 0)):
            await asyncio.sleep(0.01)


async def test_held_call_goes_on_once_the_faults_are_set_again():
    app = build_application('ledger', None, timedelta())
    async with TestServer(app) as server, aiohttp.ClientSession() as http:
        control = ControlClient(http, str(server.make_url('')).rstrip('/'))
        await control.send('PUT', '-/faults', ApplicationFaults(holds=True))
        call = asyncio.create_task(control.send('POST', 'trades/1', 'a'))
        await wait_run(control)
        await wait_run(control)
        assert not call.done()
        await control.send('PUT', '-/faults', ApplicationFaults())
        answer = await asyncio.wait_for(call, PATIENCE)
    assert b'trades/1' in answer
