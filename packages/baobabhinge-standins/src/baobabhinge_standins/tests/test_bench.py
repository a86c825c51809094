import asyncio

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.tests.conftest import (
    SMALL_PLAN,
    SMALL_SETTINGS,
)

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    faulty_backends=True,
    faulty_peers=True,
)
LIMIT = aiohttp.ClientTimeout(total=2)

scenarios('bench.feature')


@pytest.fixture(scope='module')
def bench(serve):
    return serve(PLAN, SMALL_SETTINGS)


@given(
    'a deployment in which every part can fail',
    target_fixture='running',
)
def start(bench):
    return bench


async def look_up(running, gateway):
    address = running.roster.get(gateway).caller_address
    url = f'http://{address}/services/ledger/owners/9'
    async with aiohttp.ClientSession(timeout=LIMIT) as http:
        try:
            async with http.get(url) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


@then(parsers.re(r'(?P<gateway>\S+) does not answer a look-up'))
def refuse(running, loop, gateway):
    assert loop.run(look_up(running, gateway)) == 0


@then(parsers.re(r'(?P<gateway>\S+) answers a look-up'))
def answer(running, loop, gateway):
    async def is_answered():
        return await look_up(running, gateway) == 200

    loop.run(wait_until(is_answered))


async def complete(running, engine, request_id, prompt):
    address = running.roster.get(engine).address
    async with aiohttp.ClientSession() as http:
        try:
            async with http.post(
                f'http://{address}/v1/completions',
                json={'model': 'llm', 'prompt': prompt, 'max_tokens': 9999},
                headers={'X-Request-Id': request_id},
            ) as received:
                await received.read()
        except aiohttp.ClientError:
            return 'lost'
    return 'answered'


@when(
    parsers.re(r'a long and a marked prompt run at (?P<engine>\S+)'),
    target_fixture='ends',
)
def crash(running, loop, engine):
    member = running.roster.get(engine)

    async def has_run():
        return bool(await running.backends.read_engine_runs(member))

    async def run_both():
        long = asyncio.create_task(complete(running, engine, 'long', 'box'))
        await wait_until(has_run)
        marked = await complete(running, engine, 'marked', CRASH_MARK)
        return await long, marked

    return loop.run(run_both())


@then(
    parsers.re(r'both lose their connection and (?P<engine>\S+) has ended'),
)
def lose(running, loop, ends, engine):
    assert ends == ('lost', 'lost')
    assert loop.run(running.processes.get(engine).process.wait()) == -9


@then(parsers.re(r'the journal of (?P<engine>\S+) still has both'))
def keep(running, loop, engine):
    member = running.roster.get(engine)

    async def read():
        try:
            return await running.backends.read_engine_runs(member)
        except aiohttp.ClientError:
            return []

    async def has_both():
        return {run.request_id for run in await read()} >= {'long', 'marked'}

    loop.run(wait_until(has_both))
