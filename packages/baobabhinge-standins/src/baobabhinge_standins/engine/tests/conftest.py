"""An engine in this process, with short steps."""

from contextlib import asynccontextmanager
from datetime import timedelta

import aiohttp
import msgspec
import pytest
from aiohttp.test_utils import TestServer

from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.engine.assembly import build_engine
from baobabhinge_standins.engine.batch import EngineSpeed
from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.engine.options import EngineOptions

FAST = EngineSpeed(decode_step=timedelta(milliseconds=1))
PROMPT = {'model': 'llm', 'prompt': 'a' * 200, 'max_tokens': 6}


class RunningEngine:
    def __init__(self, http, address):
        self.http = http
        self.address = address
        self.control = ControlClient(http, address)

    def post(self, request_id='r1', **changes):
        return self.http.post(
            f'{self.address}/v1/completions',
            json=PROMPT | changes,
            headers={'X-Request-Id': request_id},
        )

    async def ask(self, request_id='r1', **changes):
        async with self.post(request_id, **changes) as answer:
            return answer.status, await answer.read()

    async def get(self, path):
        return msgspec.json.decode(await self.control.send('GET', path, None))

    async def list_runs(self):
        body = await self.control.send('GET', '-/runs', None)
        return msgspec.json.decode(body, type=list[EngineRun])


@asynccontextmanager
async def run_engine(**options):
    app = build_engine(EngineOptions(**({'speed': FAST} | options)))
    async with (
        TestServer(app) as server,
        aiohttp.ClientSession() as http,
    ):
        yield RunningEngine(http, str(server.make_url('/')).rstrip('/'))


@pytest.fixture
def engine_runner():
    return run_engine
