import asyncio
from datetime import timedelta

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.engine.faults import EngineFaults
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

scenarios('leaving_backend.feature')

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 2, 'east': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 3),
        BackendPlan('llm', Role.engine, 'east', 1),
    ),
)
SETTINGS = render_settings(PLAN, render_model('60 s'), PATIENT)
PROMISED = timedelta(seconds=3)
CALLERS = 9
LONG = 700


class Traffic:
    """Callers that go on until they are told to stop."""

    def __init__(self, run, label):
        self.run = run
        self.label = label
        self.answers = []
        self.is_over = False
        self.clock = SystemClock()

    async def call_on(self, number):
        gateways = self.run.roster.list_by(Role.gateway)
        address = gateways[number % len(gateways)].caller_address
        async with aiohttp.ClientSession() as http:
            turn = 0
            while not self.is_over:
                turn += 1
                asked = ask(f'{self.label} {number} {turn}', 6)
                received = await send(http, address, asked)
                self.answers.append((asked, received))


@pytest.fixture(scope='module')
def leaving(serve):
    return serve(PLAN, SETTINGS)


@given('two regions with callers at three gateways', target_fixture='run')
def start(leaving):
    return leaving


async def leave(run, engine, reason):
    if reason == 'the list of vms says so':
        await run.vm_lists.set_state(engine, 'leaving')
    elif reason == 'its load report says so':
        faults = EngineFaults(draining=True)
        await run.backends.set_faults(run.roster.get(engine), faults)
    else:
        store = run.platform.store_address
        vms = run.platform.get_list_address('west-gateway-1')
        command = await run.processes.start(
            'drain',
            'baobabhinge_operator',
            'drain',
            engine,
            f'--key-value={store}',
            f'--vm-list={vms}',
        )
        assert await command.process.wait() == 0


async def count_runs(run, engine):
    return len(await run.backends.read_engine_runs(run.roster.get(engine)))


async def start_long(run, engine):
    """Start long streams until one of them runs on ``engine``."""
    address = run.roster.get('west-gateway-1').caller_address
    streams = []
    prompts = []
    while not await has_run(run, engine, prompts):
        asked = ask(f'long {engine} {len(prompts)}', LONG)
        prompts.append(asked.prompt)
        streams.append((asked, await begin(address, asked)))
        assert len(streams) < 40
    return streams


async def begin(address, asked):
    """Return the task of a stream that has begun."""
    started = asyncio.Event()

    async def on_token(received):
        started.set()

    async def exchange():
        async with aiohttp.ClientSession() as http:
            return await send(http, address, asked, on_token)

    task = asyncio.create_task(exchange())
    await started.wait()
    return task


async def has_run(run, engine, prompts):
    member = run.roster.get(engine)
    runs = await run.backends.read_engine_runs(member)
    return any(entry.prompt in prompts for entry in runs)


async def watch_leaving(run, engine, reason):
    traffic = Traffic(run, f'{engine} leaves')
    streams = await start_long(run, engine)
    callers = [
        asyncio.create_task(traffic.call_on(number))
        for number in range(CALLERS)
    ]

    async def is_busy():
        return len(traffic.answers) > CALLERS

    await wait_until(is_busy)
    counts = await count_after_promise(run, engine, reason, traffic)
    traffic.is_over = True
    await asyncio.gather(*callers)
    ended = [(asked, await stream) for asked, stream in streams]
    return counts, ended, traffic.answers


async def count_after_promise(run, engine, reason, traffic):
    """Return the runs when the promise begins to hold, and later."""
    await leave(run, engine, reason)
    promised = traffic.clock.read_monotonic() + PROMISED

    async def is_due():
        return traffic.clock.read_monotonic() >= promised

    await wait_until(is_due)
    first = await count_runs(run, engine)
    answered = len(traffic.answers)

    async def is_much_later():
        return len(traffic.answers) > answered + 20 * CALLERS

    await wait_until(is_much_later)
    return first, await count_runs(run, engine)


@when(
    parsers.parse('{engine} leaves because {reason}'),
    target_fixture='watched',
)
def watch(run, loop, engine, reason):
    return loop.run(watch_leaving(run, engine, reason))


@then('it gets no new work later than 3 s after that')
def check_counts(watched):
    due, later = watched[0]
    assert due
    assert later == due


@then('the stream that ran on it ends whole')
def check_streams(watched):
    _, ended, _ = watched
    assert ended
    for asked, received in ended:
        assert received.texts == list_expected(asked)
        assert received.is_done


@then('no caller is told of it')
def check_answers(watched):
    _, _, answers = watched
    for asked, received in answers:
        assert received.texts == list_expected(asked), received
