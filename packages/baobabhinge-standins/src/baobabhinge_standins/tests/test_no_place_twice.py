import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import DeploymentPlan, Role
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.links import Impairment, LinkFault
from baobabhinge_standins.tests.conftest import run_configured
from baobabhinge_standins.tests.steps.completions import (
    ask,
    list_expected,
    send,
)

scenarios('no_place_twice.feature')

SETTINGS = """
[region west]
failure-domains = west-a
[region east]
failure-domains = east-a
[region south]
failure-domains = south-a
[service llm]
kind = model
deadline = 20 s
[placement llm west]
replicas = 1 vms
[placement llm south]
replicas = 1 vms
[service ledger]
kind = plain
deadline = 5 s
[placement ledger east]
replicas = 1 vms
"""
PLAN = DeploymentPlan(
    name='three-regions',
    gateways={'west': 2, 'east': 1, 'south': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 1),
        BackendPlan('llm', Role.engine, 'south', 1),
    ),
    wan_latency=WAN_LATENCY,
    link_bits_per_second=1_000_000_000,
)
numbers = iter(range(1000))


@pytest.fixture(scope='module')
def three_regions(loop, tmp_path_factory):
    folder = tmp_path_factory.mktemp('three-regions')
    context = run_configured(PLAN, SETTINGS, folder)
    yield loop.run(context.__aenter__())
    loop.run(context.__aexit__(None, None, None))


@given('three regions whose gateways can disagree', target_fixture='run')
def start(three_regions, loop):
    loop.run(three_regions.links.heal())
    loop.run(three_regions.vm_lists.publish())
    loop.run(wait_until(lambda: lists_engines(three_regions)))
    return three_regions


@given(parsers.parse('no gateway lists the engines of {hidden}'))
def hide(run, loop, hidden):
    if hidden == 'its region':
        loop.run(hide_engines(run))


async def hide_engines(run):
    """Let each gateway list the engines of other regions alone."""
    lists = run.platform.lists
    for gateway in run.roster.list_by(Role.gateway):
        path = f'vms/{gateway.name}'
        listed = msgspec.json.decode(await lists.send('GET', path, None))
        kept = [
            group
            for group in listed
            if group['labels']['role'] == 'gateway'
            or group['labels']['region'] != gateway.region
        ]
        await lists.send('PUT', path, kept)
    await wait_until(lambda: hides_engines(run))


async def hides_engines(run):
    """Tell whether every gateway refuses what only its region could run."""
    return not any(await ask_bound(run))


async def lists_engines(run):
    """Tell whether the gateways beside engines use them."""
    return (await ask_bound(run)).count(True) == 3


async def ask_bound(run):
    """Tell for each gateway whether its own region answers it."""
    async with aiohttp.ClientSession() as http:
        answers = [
            await send(
                http,
                gateway.caller_address,
                ask('bound', 1),
                headers={'Baobabhinge-Region-Bound': gateway.region}.items(),
            )
            for gateway in run.roster.list_by(Role.gateway)
        ]
    return [answer.is_done for answer in answers]


async def list_regions(run, prompt):
    """Return the regions of the engines that were given ``prompt``."""
    return [
        engine.region
        for engine in run.roster.list_by(Role.engine)
        for entry in await run.backends.read_engine_runs(engine)
        if entry.prompt == prompt
    ]


async def send_forwarded(run, gateway, path):
    """Send a call as another gateway would that the path names last."""
    address = run.roster.get(gateway).address
    asked = ask(f'forwarded {next(numbers)}', 2, stream=False)
    async with (
        aiohttp.ClientSession() as http,
        http.post(
            f'http://{address}/forward/v1/completions',
            data=msgspec.json.encode(asked),
            headers={'Baobabhinge-Path': path, 'X-Request-Id': 'f00d'},
        ) as answer,
    ):
        told = msgspec.json.decode(await answer.read())
    return told, await list_regions(run, asked.prompt)


async def send_fresh(run, entry):
    address = run.roster.get(entry).caller_address
    asked = ask(f'fresh {next(numbers)}', 2, stream=False)
    async with (
        aiohttp.ClientSession() as http,
        http.post(
            f'http://{address}/v1/completions',
            data=msgspec.json.encode(asked),
        ) as answer,
    ):
        told = msgspec.json.decode(await answer.read())
    return told, await list_regions(run, asked.prompt)


@when(
    parsers.parse(
        "a call that has passed {path} comes to the peers' side of {gateway}",
    ),
    target_fixture='ended',
)
def forward(run, loop, path, gateway):
    return loop.run(send_forwarded(run, gateway, path))


@when(
    parsers.parse('a caller of {entry} asks for a completion'),
    target_fixture='ended',
)
def ask_entry(run, loop, entry):
    return loop.run(send_fresh(run, entry))


@then('it is answered once')
def check_answered(ended):
    told, regions = ended
    assert 'choices' in told, told
    assert len(regions) == 1


@then(parsers.parse('it is refused: {code}'))
def check_refused(ended, code):
    told, regions = ended
    assert told['code'] == code
    assert told['outcome'] == 'not-run'
    assert not regions


@when(
    'the connections of east-gateway-1 break in the middle of a stream',
    target_fixture='streamed',
)
def stream(run, loop):
    return loop.run(stream_and_break(run))


async def stream_and_break(run):
    asked = ask('stream that breaks', 60)
    address = run.roster.get('east-gateway-1').caller_address

    async def on_token(received):
        if len(received.texts) == 20:
            await break_used(run, asked.prompt)

    async with aiohttp.ClientSession() as http:
        received = await send(http, address, asked, on_token)
    return asked, received, await list_regions(run, asked.prompt)


async def break_used(run, prompt):
    """Break every connection of the entry to the region that runs it."""
    region = (await list_regions(run, prompt))[-1]
    names = [
        name
        for name in run.links.book.find_touching('east-gateway-1')
        if name.startswith(f'east-gateway-1>{region}-gateway')
    ]
    fault = LinkFault(backward=Impairment(reset_after_bytes=300))
    await run.links.set_fault(fault, *names)
    await run.links.reset(*names)


@then('the stream is whole, and each region that ran it ran it once')
def check_stream(streamed):
    asked, received, regions = streamed
    assert received.texts == list_expected(asked)
    assert received.is_done
    assert sorted(regions) == ['south', 'west']
