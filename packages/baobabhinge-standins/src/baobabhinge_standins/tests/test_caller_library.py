import asyncio
from http import HTTPMethod

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_caller import (
    CallFailedError,
    Completion,
    OutcomeUnknownError,
    ServiceCall,
    Terms,
    open_client,
)
from baobabhinge_caller.entry_cache import EntryCache
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.plans import BackendPlan
from baobabhinge_standins.tests.conftest import SMALL_PLAN, SMALL_SETTINGS
from baobabhinge_standins.tests.steps.completions import ask, list_expected

scenarios('caller_library.feature')

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 2, 'east': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 1),
        BackendPlan('ledger', Role.application, 'west', 1),
    ),
)
SETTINGS = f"""{SMALL_SETTINGS}
[run-once ledger confirm]
method = POST
path = /trades/*/confirm
"""
TOKENS = 60
ANYWHERE = Terms()
PROGRAM = 'program'


@pytest.fixture(scope='module')
def one_region(serve):
    return serve(PLAN, SETTINGS)


@given(
    'a region with two gateways, an engine and a ledger',
    target_fixture='run',
)
def start(one_region, loop):
    loop.run(restart_dead(one_region))
    return one_region


async def restart_dead(run):
    for gateway in run.roster.list_by(Role.gateway):
        if run.processes.get(gateway.name).process.returncode is not None:
            await run.processes.restart(gateway.name)
    await run.wait_ready()


def list_seeds(run, region):
    gateways = run.roster.list_by(Role.gateway, region)
    return [gateway.caller_address for gateway in gateways]


async def list_used(run):
    """Return the gateways of west, the one that the program uses first."""
    async with aiohttp.ClientSession() as http:
        cache = EntryCache(
            http, list_seeds(run, 'west'), SystemClock(), PROGRAM
        )
        addresses = await cache.list_addresses()
    names = {
        gateway.caller_address: gateway.name
        for gateway in run.roster.list_by(Role.gateway, 'west')
    }
    return [names[address] for address in addresses if address in names]


async def stream(run, region, prompt, terms=ANYWHERE, on_token=None):
    texts = []
    async with open_client(list_seeds(run, region), PROGRAM) as client:
        asked = Completion('llm', prompt, TOKENS, terms)
        async for text in client.stream(asked):
            texts.append(text)
            if on_token is not None and len(texts) == 3:
                await on_token()
    return prompt, texts


@when(
    'a program streams and the gateway it uses is killed',
    target_fixture='streamed',
)
def stream_and_kill(run, loop):
    used = loop.run(list_used(run))[0]
    kill = run.processes.get(used).kill
    return loop.run(stream(run, 'west', 'killed', on_token=kill))


@when(
    'a program that knows only the other region asks for bound work',
    target_fixture='streamed',
)
def stream_bound(run, loop):
    terms = Terms(regions=('west',))
    return loop.run(stream(run, 'east', 'bound', terms))


@then('the program has received each token once and in order')
def check_texts(streamed):
    prompt, texts = streamed
    assert texts == list_expected(ask(prompt, TOKENS))


@when(
    parsers.parse(
        'a program confirms {count:d} trades while a gateway is killed'
    ),
    target_fixture='confirmed',
)
def confirm(run, loop, count):
    return loop.run(confirm_all(run, count))


async def confirm_all(run, count):
    """Return the trades by what the program was told of them."""
    told = {'confirmed': [], 'unknown': {}, 'not run': []}
    unused = (await list_used(run))[1]
    async with open_client(list_seeds(run, 'west'), PROGRAM) as client:
        trades = [confirm_one(client, number, told) for number in range(count)]
        half = count // 2
        await asyncio.gather(*trades[:half])
        await run.processes.get(unused).kill()
        await asyncio.gather(*trades[half:])
    return told


def build_trade(number):
    return ServiceCall(
        'ledger',
        f'/trades/{number}/confirm',
        HTTPMethod.POST,
        b'trade %d' % number,
    )


async def confirm_one(client, number, told):
    try:
        answer = await client.run_once(build_trade(number))
    except OutcomeUnknownError as unknown:
        told['unknown'][number] = unknown.key
    except CallFailedError:
        told['not run'].append(number)
    else:
        assert answer.status == 200
        told['confirmed'].append(number)


@then('each trade ran at most once, and those confirmed ran')
def check_trades(run, loop, confirmed):
    ledger = run.roster.list_by(Role.application, 'west')[0]
    runs = loop.run(run.backends.read_runs(ledger))
    paths = [entry.path for entry in runs]
    assert len(paths) == len(set(paths))
    for number in confirmed['confirmed']:
        assert f'/trades/{number}/confirm' in paths
    for number in confirmed['not run']:
        assert f'/trades/{number}/confirm' not in paths
    assert len(confirmed['confirmed']) >= 20


@then('trades whose outcome is unknown can be asked for with their key')
def check_unknown(run, loop, confirmed):
    loop.run(ask_again(run, confirmed['unknown']))


async def ask_again(run, unknown):
    async with open_client(list_seeds(run, 'west'), PROGRAM) as client:
        for number, key in unknown.items():
            with pytest.raises(CallFailedError) as failure:
                await client.run_once(build_trade(number), key)
            assert failure.value.problem.outcome in {'unknown', 'not-run'}
