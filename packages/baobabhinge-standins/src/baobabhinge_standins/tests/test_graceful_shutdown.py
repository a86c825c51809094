import asyncio
from collections import Counter

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_caller.entry_cache import EntryCache
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.plans import BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.fleet.settings import (
    PATIENT,
    render_model,
    render_settings,
)
from baobabhinge_standins.tests.conftest import SMALL_PLAN
from baobabhinge_standins.tests.steps.completions import (
    ask,
    list_expected,
    send,
)

scenarios('graceful_shutdown.feature')

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 2, 'east': 2},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 2),
        BackendPlan('llm', Role.engine, 'east', 1),
    ),
)
SETTINGS = render_settings(PLAN, render_model('30 s'), PATIENT)
DRAINED = 'west-gateway-1'


class Tally:
    """What the callers of one scenario have seen."""

    def __init__(self):
        self.answered = Counter()
        self.refused = Counter()
        self.cut = []
        self.is_over = False


@pytest.fixture(scope='module')
def two_regions(serve):
    return serve(PLAN, SETTINGS)


@given('two regions with two gateways each', target_fixture='run')
def start(two_regions, loop):
    loop.run(two_regions.wait_ready())
    return two_regions


def list_seeds(run):
    gateways = run.roster.list_by(Role.gateway)
    return [gateway.caller_address for gateway in gateways]


async def stream_on(run, number, tally):
    """Stream one answer after another from the entries in force."""
    async with aiohttp.ClientSession() as http:
        cache = EntryCache(http, list_seeds(run), SystemClock())
        turn = 0
        while not tally.is_over:
            turn += 1
            asked = ask(f'caller {number} turn {turn}', 20 + number)
            addresses = await cache.list_addresses()
            address = addresses[(number + turn) % min(4, len(addresses))]
            await stream_one(http, address, asked, tally)


async def stream_one(http, address, asked, tally):
    try:
        async with http.get(f'http://{address}/healthz'):
            received = await send(http, address, asked)
    except aiohttp.ClientConnectorError:
        tally.refused['no-connection'] += 1
        return
    if received.is_unsent:
        tally.refused['no-connection'] += 1
    elif received.is_done and received.texts == list_expected(asked):
        tally.answered[address] += 1
    elif received.error.get('outcome') == 'not-run':
        tally.refused[received.error['code']] += 1
    else:
        tally.cut.append(received)


async def restart_all(run, tally):
    """Restart the gateways one by one and return their exit codes."""
    codes = []
    for gateway in run.roster.list_by(Role.gateway):
        child = run.processes.get(gateway.name)
        child.terminate()
        async with asyncio.timeout(60):
            codes.append(await child.process.wait())
        await run.processes.restart(gateway.name)
        await run.wait_ready()
        await wait_use(tally, gateway.caller_address)
    tally.is_over = True
    return codes


async def wait_use(tally, address):
    """Wait until the callers have used a gateway again."""
    before = tally.answered[address]

    async def is_used():
        return tally.answered[address] > before

    await wait_until(is_used)


async def restart_under_load(run, callers, tally):
    streams = [stream_on(run, number, tally) for number in range(callers)]
    ended = await asyncio.gather(restart_all(run, tally), *streams)
    return ended[0]


@when(
    parsers.parse(
        'each gateway gets SIGTERM in turn while {callers:d} callers stream',
    ),
    target_fixture='rolled',
)
def roll(run, loop, callers):
    tally = Tally()
    return loop.run(restart_under_load(run, callers, tally)), tally


@then('every process has ended with exit code 0')
def check_codes(rolled):
    codes, _ = rolled
    assert codes == [0, 0, 0, 0]


@then('no answer was cut, and every token arrived once and in order')
def check_cut(rolled):
    _, tally = rolled
    assert not tally.cut
    assert sum(tally.answered.values()) > 40


@then('the callers have used every gateway')
def check_used(run, rolled):
    _, tally = rolled
    assert set(tally.answered) == set(list_seeds(run))
    assert set(tally.refused) <= {'no-connection', 'draining'}


async def drain_under_stream(run):
    """Drain one gateway during a stream and return what callers see."""
    address = run.roster.get(DRAINED).caller_address
    started = asyncio.Event()

    async def on_token(received):
        started.set()

    async with aiohttp.ClientSession() as http, aiohttp.ClientSession() as own:
        asked = ask('long stream', 600)
        pending = asyncio.create_task(send(http, address, asked, on_token))
        await started.wait()
        async with own.get(f'http://{address}/readyz') as ready:
            assert ready.status == 200
        run.processes.get(DRAINED).terminate()
        await wait_until(lambda: is_unlisted(run))
        closing, answer = await probe(own, address)
        received = await pending
    code = await run.processes.get(DRAINED).process.wait()
    assert code == 0
    return closing, answer, asked, received


async def is_unlisted(run):
    others = [
        gateway
        for gateway in run.roster.list_by(Role.gateway)
        if gateway.name != DRAINED
    ]
    return not any([await lists_drained(other) for other in others])


async def lists_drained(gateway):
    async with (
        aiohttp.ClientSession() as http,
        http.get(f'http://{gateway.caller_address}/v1/entries') as answer,
    ):
        listed = msgspec.json.decode(await answer.read())
    return any(entry['vm'] == DRAINED for entry in listed['entries'])


async def probe(http, address):
    body = msgspec.json.encode(ask('probe', 1, stream=False))
    try:
        async with http.post(
            f'http://{address}/v1/completions',
            data=body,
        ) as answer:
            told = await answer.json(content_type=None)
            return answer.headers['Connection'] == 'close', told
    except aiohttp.ClientConnectorError:
        return True, {'code': 'draining', 'outcome': 'not-run'}


@when(
    'west-gateway-1 gets SIGTERM while a long stream runs there',
    target_fixture='drained',
)
def drain(run, loop):
    drained = loop.run(drain_under_stream(run))
    loop.run(run.processes.restart(DRAINED))
    return drained


@then('no gateway lists it as an entry any more')
def check_unlisted(drained):
    assert drained


@then('a new call on an open connection is served or refused as draining')
def check_probe(drained):
    _, answer, *_ = drained
    assert 'choices' in answer or answer['code'] == 'draining'


@then('each answer closes its connection')
def check_closing(drained):
    assert drained[0]


@then('the long stream ends whole')
def check_long(drained):
    *_, asked, received = drained
    assert received.texts == list_expected(asked)
    assert received.is_done
