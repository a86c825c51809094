import asyncio
import json

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_gateway.runonce.binding import (
    BINDING_PREFIX,
    build_binding_name,
)
from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.fleet import DeploymentPlan, Role
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.fleet.settings import (
    render_model,
    render_placement,
    render_plain,
    render_run_once,
    render_settings,
)
from baobabhinge_standins.memory import read_memory
from baobabhinge_standins.tests.steps.bound import (
    MARK,
    SERVICE,
    Trade,
    fingerprint_prompt,
    list_digests,
    take_key,
)
from baobabhinge_standins.tests.steps.completions import ask, open_call, send

scenarios('region_bound.feature')

PLAN = DeploymentPlan(
    name='three-regions',
    gateways={'west': 1, 'east': 1, 'south': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 2),
        BackendPlan('llm', Role.engine, 'south', 1),
        BackendPlan('ledger', Role.application, 'west', 1),
        BackendPlan('ledger', Role.application, 'south', 1),
    ),
    wan_latency=WAN_LATENCY,
    link_bits_per_second=1_000_000_000,
    faulty_backends=True,
)
SETTINGS = render_settings(
    PLAN,
    render_model('20 s'),
    render_plain('10 s'),
    render_run_once('confirm', 'POST'),
    render_placement('ledger', 'east'),
    """
[workspace dealers]
home = west
[data-rule dealers-stay]
region = west
may-go-to = none
workspace = dealers
""",
)
BINDINGS = {
    'header': {'Baobabhinge-Region-Bound': 'west'},
    'rule': {'Baobabhinge-Workspace': 'dealers'},
}
WEST = 'west-gateway-1'
CRASHING = f'{MARK} {CRASH_MARK}'
FREE_KEY = 'free-trade'
BOUND_KEY = f'{MARK} key'
ENDINGS = {
    'answered': {('answered', None)},
    'answered or not run': {('answered', None), ('refused', 'not-run')},
    'sent to west unread': {('refused', 'not-run')},
    'not run': {('refused', 'not-run')},
    'unknown': {('refused', 'unknown')},
    'broken off visibly': {('broken', 'unknown')},
}


@pytest.fixture(scope='module')
def three_regions(serve):
    return serve(PLAN, SETTINGS)


@pytest.fixture(scope='module')
def digests():
    """Yield digests of bound text that gateways of west have."""
    return [fingerprint_prompt(CRASHING, 'west')]


@given(
    'three regions with a data rule for the dealers of west',
    target_fixture='run',
)
def start(three_regions, loop):
    loop.run(three_regions.links.heal())
    return three_regions


async def fail(run, failure):
    if failure == 'west is cut off':
        await run.links.cut_region('west')
    elif failure == 'its engines break off':
        for engine in run.roster.list_by(Role.engine, 'west'):
            faults = EngineFaults(reset_after_tokens=5)
            await run.backends.set_faults(engine, faults)
    elif failure == 'its backends are dead':
        await kill_backends(run)
        await wait_until(lambda: is_refused(run))


async def kill_backends(run):
    for role in (Role.engine, Role.application):
        for member in run.roster.list_by(role, 'west'):
            await run.processes.get(member.name).kill()


async def is_refused(run):
    """Tell whether no connection to a dead backend server is left."""
    address = run.roster.get('west-gateway-1').caller_address
    async with aiohttp.ClientSession() as http:
        headers = BINDINGS['header']
        received = await send(http, address, ask('probe', 1), headers=headers)
        _, problem = await send_plain(http, address, 'probe', headers)
    endings = {received.error.get('outcome'), problem.get('outcome')}
    return endings == {'not-run'}


async def send_bound(run, kind, binding, entry, failure):
    address = run.roster.get(entry).caller_address
    text = f'{MARK} {kind} {binding} {entry} {failure}'
    await fail(run, failure)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        crowd = []
        if failure == 'west is full':
            crowd = [fill(http, address, number) for number in range(60)]
        endings = await asyncio.gather(
            send_kind(http, address, kind, text, BINDINGS[binding]),
            *crowd,
        )
    return endings[0]


async def fill(http, address, number):
    return await send(
        http,
        address,
        ask(f'crowd {number}', 64),
        headers=BINDINGS['header'].items(),
    )


async def send_kind(http, address, kind, text, headers):
    """Send a call and describe what came back."""
    if kind == 'plain':
        return await send_plain(http, address, text, headers)
    length = 64 if kind == 'streamed' else 8
    asked = ask(text, length, stream=kind == 'streamed')
    received = await send(
        http,
        address,
        asked,
        headers=headers.items(),
        expect100=True,
    )
    if received.is_done:
        return 'answered', {}
    if received.is_broken:
        return 'broken', received.error
    return 'refused', received.error


async def send_plain(http, address, text, headers):
    async with http.put(
        f'http://{address}/services/ledger/notes/1',
        data=text,
        headers=headers,
        expect100=True,
    ) as answer:
        if answer.status == 200:
            return 'answered', {}
        return 'refused', msgspec.json.decode(await answer.read())


@when(
    parsers.parse(
        'a {kind} call bound by {binding} comes to {entry} while {failure}',
    ),
    target_fixture='outcome',
)
def send_call(run, loop, kind, binding, entry, failure):
    sending = send_bound(run, kind, binding, entry, failure)
    kind_of_end, problem = loop.run(sending)
    if kind_of_end == 'refused' and problem['code'] == 'wrong-region':
        loop.run(check_unread(run, entry, BINDINGS[binding]))
    return kind_of_end, problem


async def check_unread(run, entry, headers):
    """Check that the refusal comes before any byte of the body is sent."""
    reader, writer = await open_call(
        run.roster.get(entry).caller_address,
        'Content-Length: 1000',
        'Expect: 100-continue',
        *(f'{name}: {text}' for name, text in headers.items()),
    )
    async with asyncio.timeout(10):
        status = await reader.readline()
    assert b' 421 ' in status, status
    writer.close()


@then(parsers.parse('it is {expected}'))
def check_outcome(run, outcome, expected):
    ending, problem = outcome
    told = problem.get('outcome')
    assert (ending, told) in ENDINGS[expected], problem
    if expected == 'sent to west unread':
        assert problem['code'] == 'wrong-region'
        west = run.roster.get('west-gateway-1')
        addresses = [entry['address'] for entry in problem['entries']]
        assert addresses == [west.caller_address]


@when('a bound prompt crashes the engines of west')
def crash(run, loop):
    ending, problem = loop.run(
        send_bound_text(run, 'whole', CRASHING, BINDINGS['header']),
    )
    assert (ending, problem['code']) == ('refused', 'crashing-request')


async def send_bound_text(run, kind, text, headers):
    address = run.roster.get(WEST).caller_address
    async with aiohttp.ClientSession() as http:
        return await send_kind(http, address, kind, text, headers)


@then('the engines of west serve again')
def serve_again(run, loop):
    async def is_answered():
        bound = BINDINGS['header']
        told = await send_bound_text(run, 'whole', 'probe', bound)
        return told[0] == 'answered'

    async def restart():
        for engine in run.roster.list_by(Role.engine, 'west'):
            child = run.processes.get(engine.name)
            # The end of a process is noticed some time after its connections.
            async with asyncio.timeout(10):
                await child.process.wait()
            assert child.process.returncode is not None
            await run.processes.restart(engine.name)
        await wait_until(is_answered)

    loop.run(restart())


@when(
    parsers.parse('a bound trade comes to west-gateway-1 with {key}'),
    target_fixture='told',
)
def send_trade(run, loop, digests, key):
    trade = Trade(f'/trades/{len(digests)}', f'{MARK} {key}')
    return loop.run(send_bound_trade(run, trade, key, digests))


async def send_bound_trade(run, trade, key, digests):
    address = run.roster.get(WEST).caller_address
    headers = dict(BINDINGS['rule'])
    if key == 'an Idempotency-Key':
        headers['Idempotency-Key'] = BOUND_KEY
    else:
        headers['Baobabhinge-Key'] = await take_key(address, key)
        digests.append(trade.compute_digest(headers['Baobabhinge-Key']))
    return await trade.send(address, headers)


@then(parsers.parse('it ends as {outcome}'))
def check_told(told, outcome):
    assert told == outcome


@when('a trade that is free to leave is sent with an Idempotency-Key')
def send_free(run, loop):
    address = run.roster.get('south-gateway-1').caller_address
    headers = {'Idempotency-Key': FREE_KEY}
    sending = Trade('/trades/free', 'free').send(address, headers)
    assert loop.run(sending) == 'answered'


@when(
    'every log, journal and memory outside west is searched',
    target_fixture='found',
)
def search(run, digests):
    texts = [
        MARK,
        *digests,
        *list_digests(MARK),
        *list_digests(CRASHING),
        *list_digests(json.dumps(CRASHING)),
        *(fingerprint_prompt(CRASHING, region) for region in ('east', 'south')),
        build_binding_name(SERVICE, 'dealers', BOUND_KEY),
    ]
    found = {
        member.name: find_texts(run, run.processes.folder, member.name, texts)
        for member in run.roster.list_all()
    }
    found['keyvalue'] = find_texts(run, run.processes.folder, 'keyvalue', texts)
    return found


def find_texts(run, folder, name, texts):
    """Return which texts a process holds in its files and memory."""
    places = [path.read_bytes() for path in folder.glob(f'{name}.*')]
    process = run.processes.get(name).process
    if process.returncode is None:
        places += read_memory(process.pid)
    return {
        text
        for text in texts
        if any(text.encode() in place for place in places)
    }


@then('no bound text and no digest of it is found there, but both in west')
def check_found(run, found, digests):
    outside = {
        name: texts
        for name, texts in found.items()
        if texts and not name.startswith('west')
    }
    assert not outside
    # The last digests are those of keys that no gateway takes.
    assert {MARK, *digests[:2]} <= found[WEST]
    engines = run.roster.list_by(Role.engine, 'west')
    assert any(MARK in found[engine.name] for engine in engines)


@then('the key-value service has the binding of the free trade alone')
def check_bindings(run, loop):
    path = f'v1/kv/{BINDING_PREFIX}?keys'
    listed = loop.run(run.platform.store.send('GET', path, None))
    free = build_binding_name(SERVICE, '', FREE_KEY)
    assert msgspec.json.decode(listed) == [free]
