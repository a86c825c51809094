import asyncio
import json

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.fleet import DeploymentPlan, Role
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.fleet.settings import (
    render_model,
    render_placement,
    render_plain,
    render_settings,
)
from baobabhinge_standins.links import CUT, Impairment, LinkFault
from baobabhinge_standins.tests.conftest import open_session
from baobabhinge_standins.tests.steps.completions import (
    ask,
    find_runs,
    list_expected,
    open_call,
    send,
    set_engines,
)
from baobabhinge_standins.tests.steps.operators import (
    Generations,
    Operators,
)

scenarios('no_place_twice.feature')

ENGINE_REGIONS = ('west', 'south')
PLAN = DeploymentPlan(
    name='three-regions',
    gateways={'west': 2, 'east': 1, 'south': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 1),
        BackendPlan('llm', Role.engine, 'south', 1),
    ),
    wan_latency=WAN_LATENCY,
    link_bits_per_second=1_000_000_000,
    faulty_peers=True,
)
# A stream lasts seconds, so that its connections break in the middle of it.
SLOW = EngineFaults(slowdown=10)
numbers = iter(range(1000))


def place(regions):
    """Return settings that place completions in ``regions``."""
    return render_settings(
        msgspec.structs.replace(PLAN, backends=()),
        render_model('20 s'),
        render_plain('5 s'),
        *(render_placement('ledger', region) for region in PLAN.gateways),
        *(render_placement('llm', region) for region in regions),
    )


http = pytest.fixture(scope='module')(open_session)


@pytest.fixture(scope='module')
def three_regions(serve):
    return serve(PLAN, place(ENGINE_REGIONS))


class Placements:
    """Where completions are placed, as operators publish it."""

    def __init__(self, running, http, folder):
        self._operators = Operators(running, folder)
        self.generations = Generations(running, http)
        self._newest = 1
        self._regions = ENGINE_REGIONS

    async def publish(self, regions, gateways=()):
        """Publish placements and wait until some gateways, or all, have them.

        Returns the generation in which they stand.
        """
        if regions != self._regions:
            base = f'--base={self._newest}'
            files = {'10.ini': place(regions)}
            ended = await self._operators.publish(files, base)
            assert not ended.exit_code, ended.text
            self._newest += 1
            self._regions = regions
        await self.generations.wait_for(self._newest, gateways)
        return self._newest


@pytest.fixture(scope='module')
def placements(three_regions, http, tmp_path_factory):
    folder = tmp_path_factory.mktemp('placements')
    return Placements(three_regions, http, folder)


@given('three regions whose gateways can disagree', target_fixture='run')
def start(three_regions, loop, placements):
    loop.run(three_regions.links.heal())
    loop.run(placements.publish(ENGINE_REGIONS))
    loop.run(three_regions.vm_lists.publish())
    loop.run(wait_until(lambda: lists_engines(three_regions)))
    return three_regions


@given(parsers.parse('no gateway lists the engines of {hidden}'))
def hide(run, loop, hidden):
    if hidden == 'its region':
        loop.run(hide_engines(run, ENGINE_REGIONS))
    elif hidden in ENGINE_REGIONS:
        loop.run(hide_engines(run, (hidden,)))


async def hide_engines(run, regions):
    """Let the gateways of ``regions`` list engines of others alone."""
    lists = run.platform.lists
    for gateway in run.roster.list_by(Role.gateway):
        path = f'vms/{gateway.name}'
        listed = msgspec.json.decode(await lists.send('GET', path, None))
        kept = [
            group
            for group in listed
            if group['labels']['role'] == 'gateway'
            or group['labels']['region'] != gateway.region
            or gateway.region not in regions
        ]
        await lists.send('PUT', path, kept)
    await wait_until(lambda: hides_engines(run, regions))


async def hides_engines(run, regions):
    """Tell whether those gateways refuse what only their region could run."""
    gateways = run.roster.list_by(Role.gateway)
    told = zip(gateways, await ask_bound(run), strict=True)
    return not any(done for gateway, done in told if gateway.region in regions)


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
    return [engine.region for engine, _ in await find_runs(run, prompt)]


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
    await set_engines(run, SLOW)

    async def on_token(received):
        if len(received.texts) == 20:
            await set_engines(run, EngineFaults())
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


@given(parsers.parse('completions are placed in {regions}'))
def place_completions(loop, placements, regions):
    loop.run(placements.publish(tuple(regions.split(' and '))))


@when(
    parsers.parse(
        '{kept} is kept from the news that they are placed in {region}',
    ),
    target_fixture='apart',
)
def keep(run, loop, placements, kept, region):
    return loop.run(keep_from_news(run, placements, kept, region))


async def keep_from_news(run, placements, kept, region):
    """Cut what the gateway asks; the others go on asking it."""
    await run.links.set_fault(CUT, *run.links.book.find_leaving(kept))
    others = [
        gateway.name
        for gateway in run.roster.list_by(Role.gateway)
        if gateway.name != kept
    ]
    return kept, await placements.publish((region,), others)


@when(
    parsers.parse('a caller of {entry} asks while they disagree'),
    target_fixture='ended',
)
def ask_apart(run, loop, placements, apart, entry):
    return loop.run(send_apart(run, placements, apart, entry))


async def send_apart(run, placements, apart, entry):
    """Send a call that its entry decides about while they disagree."""
    kept, newest = apart
    asked = ask(f'apart {next(numbers)}', 2, stream=False)
    body = msgspec.json.encode(asked)
    reader, writer = await open_call(
        run.roster.get(entry).caller_address,
        'Connection: close',
        f'Content-Length: {len(body)}',
        body=body,
    )
    # The entry reads the call before it answers a question that came later.
    await placements.generations.read(entry)
    status = await placements.generations.read(kept)
    assert status['generation'] < newest
    if entry == kept:
        await run.links.heal()
    async with asyncio.timeout(30):
        answer = await reader.read()
    writer.close()
    head, _, text = answer.partition(b'\r\n\r\n')
    told = msgspec.json.decode(text)
    told['head'] = head.decode()
    return told, await list_regions(run, asked.prompt)


@then(parsers.parse('the regions that refused it did so once: {regions}'))
def check_refusing(run, ended, regions):
    told, _ = ended
    refusing = [
        gateway.region
        for gateway in run.roster.list_by(Role.gateway)
        for line in (run.processes.folder / f'{gateway.name}.log')
        .read_text()
        .splitlines()
        if is_refusal(json.loads(line), told)
    ]
    expected = [
        sorted(set(listed.split(' and ')) - {'none'})
        for listed in regions.split(' or ')
    ]
    assert sorted(refusing) in expected


def is_refusal(line, told):
    if line['event'] != 'call-refused':
        return False
    request_id = line['request_id'].lower()
    return f'x-request-id: {request_id}\r\n' in told['head'].lower()
