import asyncio

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.fleet import DeploymentPlan, Role
from baobabhinge_standins.fleet.plans import WAN_LATENCY, BackendPlan
from baobabhinge_standins.fleet.readiness import wait_port, wait_until
from baobabhinge_standins.fleet.settings import (
    PATIENT,
    render_model,
    render_settings,
)
from baobabhinge_standins.links import Impairment, LinkFault
from baobabhinge_standins.tests.steps.completions import (
    ask,
    list_expected,
    send,
)

scenarios('crashing_request.feature')

PLAN = DeploymentPlan(
    name='one-region',
    gateways={'west': 3},
    backends=(BackendPlan('llm', Role.engine, 'west', 5),),
    wan_latency=WAN_LATENCY,
    link_bits_per_second=1_000_000_000,
    faulty_peers=True,
)
SETTINGS = render_settings(PLAN, render_model('60 s'), PATIENT)
# Longer than the wait for the answer to a heartbeat, both ways together.
LATE = Impairment(delay_ms=300)
SLOW = EngineFaults(late_seconds=0.5)


@pytest.fixture(scope='module')
def one_region(serve):
    return serve(PLAN, SETTINGS)


@given(
    'a region with three gateways and five engines',
    target_fixture='run',
)
def start(one_region, loop):
    loop.run(restart_dead(one_region))
    yield one_region
    loop.run(heal(one_region))


def list_dead(run):
    return [
        engine
        for engine in run.roster.list_by(Role.engine)
        if run.processes.get(engine.name).process.returncode is not None
    ]


async def restart_dead(run):
    for engine in list_dead(run):
        await run.processes.restart(engine.name)
        await wait_port(engine.port)


async def heal(run):
    await run.links.heal()
    await restart_dead(run)
    for engine in run.roster.list_by(Role.engine):
        await run.backends.set_faults(engine, EngineFaults())


def list_addresses(run):
    gateways = run.roster.list_by(Role.gateway)
    return [gateway.caller_address for gateway in gateways]


async def delay_last_gateway(run):
    """Let heartbeats with the last gateway fail, and slow calls arrive."""
    *others, last = run.roster.list_by(Role.gateway)
    names = [
        name
        for other in others
        for name in (f'{other.name}>{last.name}', f'{last.name}>{other.name}')
    ]
    await run.links.set_fault(LinkFault(LATE, LATE), *names)


async def delay_runs(run):
    """Let what comes from now on wait in the engines before it runs."""
    for engine in run.roster.list_by(Role.engine):
        await run.backends.set_faults(engine, SLOW)


async def crash_among(run, kind, innocents, how):
    """Send a crashing request once the others run; return all answers."""
    addresses = list_addresses(run)
    others = [
        ask(f'innocent {kind} {number} of {innocents}', 60 + number)
        for number in range(innocents)
    ]
    culprit = ask(
        f'{CRASH_MARK} {kind} {innocents}',
        8,
        stream=kind == 'streamed',
    )
    started = asyncio.Semaphore(0)

    async def on_token(received):
        if len(received.texts) == 1:
            started.release()

    async with aiohttp.ClientSession() as http:
        running = [
            asyncio.create_task(
                send(http, addresses[number % 3], other, on_token),
            )
            for number, other in enumerate(others)
        ]
        for _ in others:
            await started.acquire()
        first = addresses[:1]
        if how.endswith('late'):
            await delay_last_gateway(run)
        elif how.startswith('after'):
            await delay_runs(run)
            first = addresses[:2]
        refusals = await asyncio.gather(
            *(send(http, address, culprit) for address in first),
        )
        answers = await asyncio.gather(*running)
    return culprit, refusals, list(zip(others, answers, strict=True))


@when(
    parsers.parse(
        'a {kind} request that crashes engines runs among {innocents:d} others',
    ),
    target_fixture='crash',
)
def send_culprit(run, loop, kind, innocents):
    return kind, innocents


@when(
    parsers.parse('its caller sends it again {how}'),
    target_fixture='ended',
)
def send_again(run, loop, crash, how):
    kind, innocents = crash
    return loop.run(repeat(run, kind, innocents, how))


async def repeat(run, kind, innocents, how):
    addresses = list_addresses(run)
    if how.endswith('gateways at once'):
        twin = send_twin(run, addresses[1], kind, innocents)
        ended, second = await asyncio.gather(
            crash_among(run, kind, innocents, how),
            twin,
        )
    else:
        ended = await crash_among(run, kind, innocents, how)
        second = None
    culprit, refusals, others = ended
    if second is not None:
        refusals.append(second)
    async with aiohttp.ClientSession() as http:
        for address in addresses * 2:
            refusals.append(await send(http, address, culprit))
            culprit.max_tokens += 1
    return refusals, others


async def send_twin(run, address, kind, innocents):
    """Send the culprit through another gateway as soon as it has run."""
    culprit = ask(
        f'{CRASH_MARK} {kind} {innocents}',
        8,
        stream=kind == 'streamed',
    )

    async def has_run():
        return bool(list_dead(run))

    await wait_until(has_run)
    async with aiohttp.ClientSession() as http:
        return await send(http, address, culprit)


@then('at most two engines have died')
def check_dead(run, ended):
    assert ended
    assert 1 <= len(list_dead(run)) <= 2


@then('the culprit was refused, the last times without being run')
def check_refused(ended):
    refusals, _ = ended
    assert not any(received.texts for received in refusals)
    codes = [received.error['code'] for received in refusals]
    assert set(codes) == {'crashing-request'}
    outcomes = [received.error['outcome'] for received in refusals]
    assert outcomes[0] == 'unknown'
    assert set(outcomes[-6:]) == {'not-run'}


@then('every other request was answered whole')
def check_others(ended):
    _, others = ended
    for asked, received in others:
        assert received.texts == list_expected(asked), received
        assert received.is_done
