import asyncio
from datetime import timedelta

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.plans import BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.fleet.settings import (
    render_model,
    render_plain,
    render_settings,
)
from baobabhinge_standins.tests.conftest import SMALL_PLAN
from baobabhinge_standins.tests.steps.completions import (
    ask,
    find_runs,
    list_expected,
    send,
    set_engines,
)

scenarios('whole_answer.feature')

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 1, 'east': 1, 'south': 1},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 3, ('--slots=512',)),
        BackendPlan('llm', Role.engine, 'south', 1),
    ),
    faulty_backends=True,
)
SETTINGS = render_settings(
    PLAN,
    render_model('120 s'),
    render_plain('5 s'),
    '[placement ledger east]\nreplicas = 1 vms',
)
LONGEST_PAUSE = timedelta(seconds=1)
# An answer lasts seconds, so that a failure comes in the middle of it.
SLOW = EngineFaults(slowdown=10)
FIRST_MOMENTS = (2,)
MOMENTS = {
    'nothing': (),
    'nothing fails': (),
    'its connections break twice': (2, 20),
}


@pytest.fixture(scope='module')
def three_regions(serve):
    return serve(PLAN, SETTINGS)


@given('a deployment whose engines and links can fail', target_fixture='run')
def start(three_regions, loop):
    loop.run(three_regions.links.heal())
    for engine in three_regions.roster.list_by(Role.engine):
        three_regions.processes.get(engine.name).thaw()
    loop.run(set_engines(three_regions, EngineFaults()))
    return three_regions


async def break_links(run, source):
    """Reset every open connection of ``source``."""
    names = [
        name
        for name in run.links.book.find_touching(source)
        if name.startswith(source) and not name.endswith('store')
    ]
    await run.links.reset(*names)


async def freeze_runner(run, prompt):
    """Freeze the engine that runs ``prompt`` and return its child."""
    runner, _ = (await find_runs(run, prompt))[-1]
    child = run.processes.get(runner.name)
    child.freeze()
    return child


async def fail(run, entry, prompt, failure):
    """Bring ``failure`` about in the middle of a stream."""
    if failure in {'its connections break once', 'its connections break twice'}:
        await break_links(run, entry)
    elif failure == 'the engine that runs it freezes':
        await freeze_runner(run, prompt)


async def stream_and_fail(run, entry, asked, failure):
    address = run.roster.get(entry).caller_address
    moments = MOMENTS.get(failure, FIRST_MOMENTS)
    if moments:
        await set_engines(run, SLOW)

    async def on_token(received):
        if len(received.texts) in moments:
            if len(received.texts) == moments[-1]:
                await set_engines(run, EngineFaults())
            await fail(run, entry, asked.prompt, failure)

    async with aiohttp.ClientSession() as http:
        return await send(http, address, asked, on_token)


@when(
    parsers.parse(
        'a caller of {entry} streams {tokens:d} tokens while {failure}',
    ),
    target_fixture='call',
)
def stream(run, loop, entry, tokens, failure):
    asked = ask(f'{entry} {tokens} {failure}', tokens)
    return asked, loop.run(stream_and_fail(run, entry, asked, failure))


@then('each token arrives once, in order, in one whole answer')
def check_tokens(call):
    asked, received = call
    assert received.texts == list_expected(asked), received
    assert received.is_done
    assert not received.is_broken
    assert received.ids == {received.request_id}


@then(parsers.parse('the request was started {runs:d} times'))
def check_runs(run, loop, call, runs):
    asked, _ = call
    for engine in run.roster.list_by(Role.engine):
        run.processes.get(engine.name).thaw()
    assert len(loop.run(find_runs(run, asked.prompt))) == runs


@when(
    'a caller streams and every engine breaks off again and again',
    target_fixture='received',
)
def stream_and_break(run, loop):
    return loop.run(stream_from_broken_engines(run))


async def stream_from_broken_engines(run):
    asked = ask('breaks again and again', 400)
    await set_engines(run, EngineFaults(reset_after_tokens=10))
    received = await stream_and_fail(run, 'west-gateway-1', asked, 'nothing')
    await set_engines(run, EngineFaults())
    return received


@then('the answer ends with an error event and without its end')
def check_cut(received):
    assert len(received.texts) == 30
    assert received.error['code'] == 'answer-broken'
    assert received.error['outcome'] == 'unknown'
    assert received.is_broken
    assert not received.is_done


@when(
    parsers.parse(
        'the engine that runs a {kind} completion freezes past its time-out',
    ),
    target_fixture='late',
)
def freeze_past_time_out(run, loop, kind):
    return loop.run(answer_past_time_out(run, kind))


async def answer_past_time_out(run, kind):
    asked = ask(f'late {kind}', 40, stream=kind == 'streamed')
    address = run.roster.get('west-gateway-1').caller_address

    async def has_started():
        return bool(await find_runs(run, asked.prompt))

    async with aiohttp.ClientSession() as http:
        pending = asyncio.create_task(
            send(
                http,
                address,
                asked,
                headers={'Baobabhinge-Deadline-Ms': '12000'}.items(),
            ),
        )
        await wait_until(has_started)
        child = await freeze_runner(run, asked.prompt)
        received = await pending
    assert ''.join(received.texts) == ''.join(list_expected(asked))
    return child


@when(
    parsers.parse('it thaws while {count:d} other callers are served'),
    target_fixture='calls',
)
def thaw_and_serve(run, loop, late, count):
    late.thaw()
    return loop.run(send_many(run, 'after the late answer', count))


async def send_many(run, prompt, count, entry='west-gateway-1'):
    address = run.roster.get(entry).caller_address
    many = [
        ask(f'{prompt} {number}', 4, stream=bool(number % 2))
        for number in range(count)
    ]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        answers = await asyncio.gather(
            *(send_until_run(http, address, asked) for asked in many),
        )
    return list(zip(many, answers, strict=True))


async def send_until_run(http, address, asked):
    """Send again, as a caller may, while the answer is ``not-run``."""
    while True:
        received = await send(http, address, asked)
        if received.error.get('outcome') != 'not-run':
            return received
        assert received.error['retry_after_seconds'] >= 1
        await asyncio.sleep(LONGEST_PAUSE.total_seconds())


@when(
    parsers.parse(
        'the next {faulty:d} answers name another request, and {count:d} '
        'callers ask at {entry}',
    ),
    target_fixture='calls',
)
def mix_up(run, loop, faulty, count, entry):
    return loop.run(send_mixed_up(run, faulty, count, entry))


async def send_mixed_up(run, faulty, count, entry):
    """Let one answer of each west engine name another request."""
    engines = run.roster.list_by(Role.engine, 'west')
    assert len(engines) == faulty
    faults = EngineFaults(wrong_request_id=True, count=1)
    for engine in engines:
        await run.backends.set_faults(engine, faults)
    calls = []
    while len(calls) < count or await count_extra(run, calls) < faulty:
        prompt = f'mixed up at {entry} {len(calls)}'
        calls += await send_many(run, prompt, count, entry)
        assert len(calls) < 20 * count
    for engine in engines:
        await run.backends.set_faults(engine, EngineFaults())
    return calls


async def count_extra(run, calls):
    """Return how many runs there were beyond one for each call."""
    runs = [await find_runs(run, asked.prompt) for asked, _ in calls]
    return sum(map(len, runs)) - len(calls)


@then(
    parsers.parse(
        'the engines were asked {faulty:d} times more than callers asked',
    ),
)
def check_extra(run, loop, calls, faulty):
    assert loop.run(count_extra(run, calls)) == faulty


@when(
    parsers.parse(
        '{count:d} distinct requests are sent at once, half of them streamed',
    ),
    target_fixture='calls',
)
def send_at_once(run, loop, count):
    return loop.run(send_many(run, 'distinct', count))


@then('each of them received its own whole answer')
def check_all(calls):
    for asked, received in calls:
        expected = ''.join(list_expected(asked))
        assert ''.join(received.texts) == expected, (asked, received)
        assert received.is_done
        assert received.ids == {received.request_id}
    request_ids = {answer.request_id for _, answer in calls}
    assert len(request_ids) == len(calls)


@when(
    parsers.parse('a caller of {entry} leaves in the middle of its answer'),
    target_fixture='cancelled',
)
def leave(run, loop, entry):
    return loop.run(send_and_leave(run, entry))


async def send_and_leave(run, entry):
    asked = ask(f'cancelled at {entry}', 500)
    address = run.roster.get(entry).caller_address
    started = asyncio.Event()

    async def on_token(received):
        started.set()

    async with aiohttp.ClientSession() as http:
        pending = asyncio.create_task(send(http, address, asked, on_token))
        await started.wait()
        pending.cancel()
        await asyncio.wait([pending])
    return asked


@then('its engine has stopped that run early')
def check_cancelled(run, loop, cancelled):
    async def is_cancelled():
        states = [
            entry.state for _, entry in await find_runs(run, cancelled.prompt)
        ]
        return states == ['cancelled']

    loop.run(wait_until(is_cancelled))
