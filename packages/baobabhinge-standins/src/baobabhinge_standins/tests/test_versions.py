import asyncio
import json

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.plans import BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.fleet.settings import (
    render_model,
    render_placement,
    render_settings,
    render_version,
)
from baobabhinge_standins.tests.conftest import SMALL_PLAN
from baobabhinge_standins.tests.steps.completions import (
    find_runs,
    list_expected,
    send,
)
from baobabhinge_standins.weights.app import DEFAULT_BYTES, WeightFaults

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 2},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 4, ('--fencing=refuse',)),
    ),
    has_weights=True,
)
PLACED_PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    backends=tuple(
        BackendPlan('llm', Role.engine, region, 1, ('--fencing=refuse',))
        for region in ('west', 'east')
    ),
)
PLACED_SETTINGS = render_settings(
    msgspec.structs.replace(PLACED_PLAN, backends=()),
    f'{render_model("20 s")}\ndefault-version = v2',
    render_version('llm', 'v1'),
    render_version('llm', 'v2'),
    f'{render_placement("llm", "west")}\nversions = v1',
    f'{render_placement("llm", "east")}\nversions = v2',
)
CALLERS = 6
STREAM_TOKENS = 1000
# The engine that begins a stream takes 60 s for it, which outlasts loading.
SLOW = EngineFaults(slowdown=6)

scenarios('versions.feature')


class Rollout:
    """A deployment whose engines change their versions."""

    def __init__(self, running, http, folder):
        self.running = running
        self.http = http
        self.folder = folder
        self.numbers = iter(range(1 << 20))
        self.calls = []
        self.stream = None

    @property
    def engines(self):
        return self.running.roster.list_by(Role.engine)

    async def publish(self, versions, default):
        folder = self.folder / f'{default}-{len(versions)}'
        folder.mkdir()
        (folder / '10.ini').write_text(render_with_versions(versions, default))
        before = await self.read_generations()
        await self.running.publish_folder(folder)

        async def is_accepted():
            after = await self.read_generations()
            return min(after) > max(before)

        await wait_until(is_accepted)

    async def read_generations(self):
        found = []
        for gateway in self.running.roster.list_by(Role.gateway):
            url = f'http://{gateway.caller_address}/v1/status'
            async with self.http.get(url) as answer:
                found.append((await answer.json())['generation'])
        return found

    async def hold(self, versions):
        """Tell whether every engine holds exactly ``versions``."""
        for engine in self.engines:
            control = ControlClient(self.http, f'http://{engine.address}')
            body = await control.send('GET', 'v1/models', None)
            listed = json.loads(body)['models']
            if sorted(one['version'] for one in listed) != versions:
                return False
        return True

    async def wait_held(self, versions):
        async def is_held():
            return await self.hold(versions)

        await wait_until(is_held)

    async def call(self, model):
        """Send one call and keep what came of it."""
        number = next(self.numbers)
        asked = EngineRequest(
            model, f'call {number}', stream=True, max_tokens=4
        )
        entry = self.running.choose_entry('west', number)
        received = await send(self.http, entry, asked)
        self.calls.append((asked, received))
        return received

    async def call_until_held(self, model, versions):
        async def go_on():
            while not await self.hold(versions):
                await self.call(model)

        await asyncio.gather(*[go_on() for _ in range(CALLERS)])

        async def is_answered():
            return (await self.call(model)).is_done

        await wait_until(is_answered)

    async def set_engines(self, faults):
        for engine in self.engines:
            await self.running.backends.set_faults(engine, faults)

    async def find_runs(self, prompt):
        return await find_runs(self.running, prompt)


def render_with_versions(versions, default):
    """Return settings with ``versions``, of which one is the default."""
    return render_settings(
        PLAN,
        f'{render_model("60 s")}\ndefault-version = {default}',
        '[adapter llm covers]\nweights = llm/covers',
        *(render_version('llm', version) for version in versions),
    )


def split(versions):
    return versions.split(', ')


def check_refused(received):
    assert received.status == 503
    assert received.error['outcome'] == 'not-run'
    assert received.error['code'] == 'model-not-loaded'
    assert received.error['retry_after_seconds'] > 0


@given(
    'a region of four engines that hold version v1', target_fixture='rollout'
)
def start(launch, loop, http, tmp_path):
    running = launch(PLAN, render_with_versions(['v1'], 'v1'))
    rollout = Rollout(running, http, tmp_path)
    loop.run(rollout.wait_held(['v1']))

    gateways = running.roster.list_by(Role.gateway)

    async def are_answered():
        answers = [await rollout.call('llm') for _ in gateways]
        return all(answer.is_done for answer in answers)

    loop.run(wait_until(are_answered))
    rollout.calls.clear()
    return rollout


@given('a weight store that takes a second for each version')
def slow_down(rollout, loop):
    faults = WeightFaults(bytes_per_second=DEFAULT_BYTES)
    loop.run(rollout.running.platform.weights.send('PUT', '-/faults', faults))


@given('a weight store that is down')
def take_down(rollout, loop):
    faults = WeightFaults(down=True)
    loop.run(rollout.running.platform.weights.send('PUT', '-/faults', faults))


@when(
    parsers.parse(
        'settings with the versions {versions} and the default {default}'
        ' are accepted',
    ),
)
def publish(rollout, loop, versions, default):
    loop.run(rollout.publish(split(versions), default))


@when(
    parsers.parse(
        'calls for {model} go on until every engine holds {versions}',
    ),
)
def call_on(rollout, loop, model, versions):
    loop.run(rollout.call_until_held(model, split(versions)))


@when(parsers.parse('every engine holds {versions}'))
def wait_held(rollout, loop, versions):
    loop.run(rollout.wait_held(split(versions)))


@then(
    parsers.parse(
        'each call ran on {version} alone'
        ' or was refused as not run with Retry-After',
    ),
)
def check_versions(rollout, loop, version):
    for asked, received in rollout.calls:
        runs = loop.run(rollout.find_runs(asked.prompt))
        if received.is_done:
            assert received.texts == list_expected(asked)
            assert [run.version for _, run in runs] == [version]
        else:
            check_refused(received)
            assert not runs


@then('the last call was answered')
def check_last(rollout):
    assert rollout.calls[-1][1].is_done


@pytest.fixture
def streams(loop):
    tasks = []
    yield tasks
    for task in tasks:
        task.cancel()


@when('a streamed answer for llm has begun')
def begin_stream(rollout, loop, streams):
    asked = EngineRequest(
        'llm', 'a long answer', stream=True, max_tokens=STREAM_TOKENS
    )
    entry = rollout.running.choose_entry('west', 0)

    async def begin():
        begun = asyncio.Event()

        async def note(received):
            begun.set()

        streams.append(
            asyncio.create_task(send(rollout.http, entry, asked, note)),
        )
        await begun.wait()

    loop.run(rollout.set_engines(SLOW))
    loop.run(begin())
    loop.run(rollout.set_engines(EngineFaults()))
    rollout.stream = asked


@when('the engine of the stream is killed')
def kill_engine(rollout, loop):
    runs = loop.run(rollout.find_runs(rollout.stream.prompt))
    assert [run.state for _, run in runs] == ['running']
    engine = runs[0][0]
    loop.run(rollout.running.processes.get(engine.name).kill())


@then(parsers.parse('the answer is {end} and only v1 has run it'))
def check_stream(rollout, loop, streams, end):
    async def finish():
        return await asyncio.wait_for(streams[0], 60)

    received = loop.run(finish())
    expected = list_expected(rollout.stream)
    versions = {
        run.version
        for engine in rollout.engines
        if rollout.running.processes.get(engine.name).process.returncode is None
        for run in loop.run(rollout.running.backends.read_engine_runs(engine))
        if run.prompt == rollout.stream.prompt
    }
    if end == 'whole':
        assert received.texts == expected
        assert received.is_done
        assert versions == {'v1'}
    else:
        assert received.error
        assert not received.is_done
        assert received.texts == expected[: len(received.texts)]
        assert not versions


@then('a call for llm is refused as not run with Retry-After')
def check_refusal(rollout, loop):
    received = loop.run(rollout.call('llm'))
    check_refused(received)


@pytest.fixture(scope='module')
def two_regions(serve, loop):
    running = serve(PLACED_PLAN, PLACED_SETTINGS)
    engines = running.roster.list_by(Role.engine)
    loop.run(running.backends.wait_loaded(engines))
    return running


@given(
    'a region west that has version v1 and a region east that has version v2',
    target_fixture='rollout',
)
def start_placed(two_regions, loop, http, tmp_path):
    rollout = Rollout(two_regions, http, tmp_path)
    for region, version in (('west', 'v1'), ('east', 'v2')):
        asked = EngineRequest(f'llm@{version}', 'warm', max_tokens=1)
        entry = two_regions.choose_entry(region, 0)

        async def is_answered(asked=asked, entry=entry):
            return (await send(http, entry, asked)).is_done

        loop.run(wait_until(is_answered))
    return rollout


@when(
    parsers.parse('a caller in {region} asks for {model} {bound}'),
    target_fixture='placed',
)
def ask_placed(rollout, loop, region, model, bound):
    headers = {}
    if bound != 'anywhere':
        headers['Baobabhinge-Region-Bound'] = region
    prompt = f'{region} {model} {bound}'
    asked = EngineRequest(model, prompt, stream=True, max_tokens=4)
    entry = rollout.running.choose_entry(region, 0)
    sending = send(rollout.http, entry, asked, headers=headers)
    return asked, loop.run(sending)


@then(parsers.parse('the outcome is {outcome}'))
def check_placed(rollout, loop, placed, outcome):
    asked, received = placed
    runs = loop.run(rollout.find_runs(asked.prompt))
    if received.is_done:
        assert received.texts == list_expected(asked)
        told = [f'{run.version} in {engine.region}' for engine, run in runs]
    else:
        assert received.error['outcome'] == 'not-run'
        assert not runs
        told = [f'refused: {received.error["code"]}']
    assert told == [outcome]
