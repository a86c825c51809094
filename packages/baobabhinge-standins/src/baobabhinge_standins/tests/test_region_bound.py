import asyncio
import hashlib
from pathlib import Path

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.fleet import DeploymentPlan, Role
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.tests.conftest import run_configured
from baobabhinge_standins.tests.steps.completions import ask, send

scenarios('region_bound.feature')

SETTINGS = """
[region west]
failure-domains = west-a
[region east]
failure-domains = east-a
[region south]
failure-domains = south-a
[workspace dealers]
home = west
[data-rule dealers-stay]
region = west
may-go-to = none
workspace = dealers
[service llm]
kind = model
deadline = 20 s
[placement llm west]
replicas = 2 vms
[placement llm south]
replicas = 1 vms
[service ledger]
kind = plain
deadline = 10 s
[placement ledger west]
replicas = 1 vms
[placement ledger south]
replicas = 1 vms
[placement ledger east]
replicas = 1 vms
"""
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
BINDINGS = {
    'header': {'Baobabhinge-Region-Bound': 'west'},
    'rule': {'Baobabhinge-Workspace': 'dealers'},
}
MARK = 'bound-text-of-west'
ENDINGS = {
    'answered': {('answered', None)},
    'answered or not run': {('answered', None), ('refused', 'not-run')},
    'sent to west unread': {('refused', 'not-run')},
    'not run': {('refused', 'not-run')},
    'unknown': {('refused', 'unknown')},
    'broken off visibly': {('broken', 'unknown')},
}


@pytest.fixture(scope='module')
def deployed(loop, tmp_path_factory):
    folder = tmp_path_factory.mktemp('three-regions')
    context = run_configured(PLAN, SETTINGS, folder)
    yield loop.run(context.__aenter__()), folder
    loop.run(context.__aexit__(None, None, None))


@given(
    'three regions with a data rule for the dealers of west',
    target_fixture='run',
)
def start(deployed, loop):
    loop.run(deployed[0].links.heal())
    return deployed[0]


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
    host, _, port = run.roster.get(entry).caller_address.partition(':')
    lines = [
        'POST /v1/completions HTTP/1.1',
        'Host: gateway',
        'Content-Length: 1000',
        'Expect: 100-continue',
        *(f'{name}: {text}' for name, text in headers.items()),
        '\r\n',
    ]
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write('\r\n'.join(lines).encode())
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


@when(
    'every log, journal and memory outside west is searched',
    target_fixture='found',
)
def search(deployed):
    run, folder = deployed
    texts = [MARK.encode(), hashlib.sha256(MARK.encode()).hexdigest().encode()]
    found = {}
    for member in run.roster.list_all():
        process = run.processes.get(member.name).process
        paths = folder.glob(f'{member.name}.*')
        places = [path.read_bytes() for path in paths]
        places += read_memory(process.pid)
        found[member.name] = any(
            text in place for place in places for text in texts
        )
    store = run.processes.get('keyvalue').process
    found['store'] = any(
        MARK.encode() in part for part in read_memory(store.pid)
    )
    return found


def read_memory(pid):
    """Return the writable memory of a process that still runs."""
    if not Path(f'/proc/{pid}').exists():
        return []
    areas = Path(f'/proc/{pid}/maps').read_text().splitlines()
    with Path(f'/proc/{pid}/mem').open('rb', buffering=0) as memory:
        return [read_area(memory, area) for area in areas if ' rw' in area]


def read_area(memory, area):
    first, last = (int(part, 16) for part in area.split()[0].split('-'))
    memory.seek(first)
    return memory.read(last - first)


@then('no bound text is found there, but it is found in west')
def check_found(run, found):
    outside = {
        name
        for name, is_found in found.items()
        if is_found and not name.startswith('west')
    }
    assert outside == set()
    assert found['west-gateway-1']
    assert any(found[engine.name] for engine in run.roster.list_by(Role.engine))
