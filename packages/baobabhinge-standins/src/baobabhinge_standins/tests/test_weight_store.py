import asyncio
import itertools
import json
from datetime import timedelta

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.plans import BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.fleet.settings import (
    render_settings,
    render_version,
)
from baobabhinge_standins.tests.conftest import SMALL_PLAN
from baobabhinge_standins.tests.steps.completions import list_expected, send
from baobabhinge_standins.weights.app import DEFAULT_BYTES, WeightFaults

SERVICES = ('llm', 'planner')
REGIONS = ('west', 'east')
PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    backends=tuple(
        BackendPlan(service, Role.engine, region, 2, ('--fencing=refuse',))
        for service in SERVICES
        for region in REGIONS
    ),
    has_weights=True,
)
SLOW = WeightFaults(bytes_per_second=DEFAULT_BYTES // 4)
# Eight engines read for 32 s at the rate limit alone.
LOADING_PATIENCE = timedelta(minutes=4)

scenarios('weight_store.feature')


def render_with_versions(*versions):
    services = [
        f'[service {service}]\n'
        'kind = model\n'
        'deadline = 20 s\n'
        'default-version = v1'
        for service in SERVICES
    ]
    parts = [
        render_version(service, version)
        for service in SERVICES
        for version in versions
    ]
    return render_settings(PLAN, *services, *parts)


class Loading:
    """Engines that load, and calls meanwhile."""

    def __init__(self, running, http):
        self.running = running
        self.http = http
        self.calls = []
        self.caller = None

    @property
    def engines(self):
        return self.running.roster.list_by(Role.engine)

    async def read(self, engine, path):
        control = ControlClient(self.http, f'http://{engine.address}')
        return json.loads(await control.send('GET', path, None))

    async def wait_held(self, *versions):
        async def is_held():
            for engine in self.engines:
                listed = (await self.read(engine, 'v1/models'))['models']
                held = sorted(one['version'] for one in listed)
                if held != list(versions):
                    return False
            return True

        await wait_until(is_held)

    async def call(self, model, region):
        number = len(self.calls)
        prompt = f'{model} {region} {number}'
        asked = EngineRequest(model, prompt, stream=True, max_tokens=8)
        entry = self.running.choose_entry(region, number)
        received = await send(self.http, entry, asked)
        self.calls.append((asked, received))
        return received

    async def call_on(self):
        for service, region in itertools.cycle(
            itertools.product(SERVICES, REGIONS),
        ):
            await self.call(service, region)

    async def wait_calls(self, more):
        wanted = len(self.calls) + more

        async def are_made():
            return len(self.calls) >= wanted

        await wait_until(are_made)

    async def set_weights(self, faults):
        weights = self.running.platform.weights
        await weights.send('PUT', '-/faults', faults)

    async def read_versions(self, service):
        """Return the versions that have run each prompt of ``service``."""
        found = {}
        for engine in self.engines:
            if engine.service == service:
                runs = await self.running.backends.read_engine_runs(engine)
                for run in runs:
                    found.setdefault(run.prompt, set()).add(run.version)
        return found


@given(
    'two regions whose eight engines of two services hold version v1',
    target_fixture='loading',
)
def start(launch, loop, http):
    loading = Loading(launch(PLAN, render_with_versions('v1')), http)
    loop.run(loading.wait_held('v1'))

    async def are_answered():
        answers = [
            await loading.call(service, region)
            for service in SERVICES
            for region in REGIONS
        ]
        return all(answer.is_done for answer in answers)

    loop.run(wait_until(are_answered))
    loading.calls.clear()
    return loading


@given('a weight store that gives a quarter of a version each second')
def slow_down(loading, loop):
    loop.run(loading.set_weights(SLOW))


@pytest.fixture
def callers(loop):
    tasks = []
    yield tasks
    for task in tasks:
        task.cancel()


@when('settings that add version v2 are accepted while calls go on')
def publish(loading, loop, callers, tmp_path):
    folder = tmp_path / 'second'
    folder.mkdir()
    (folder / '10.ini').write_text(render_with_versions('v1', 'v2'))

    async def begin():
        callers.append(asyncio.create_task(loading.call_on()))
        await loading.running.publish_folder(folder)

    loop.run(begin())


@when('nothing else happens')
def do_nothing():
    """Let the engines load."""


@when(parsers.parse('the weight store is down for {count:d} calls'))
def take_down(loading, loop, count):
    loop.run(loading.set_weights(WeightFaults(down=True)))
    loop.run(loading.wait_calls(count))
    loop.run(loading.set_weights(SLOW))


@when('an engine is killed and started once more')
def restart(loading, loop):
    engine = loading.engines[0]

    async def is_ordered():
        orders = await loading.read(engine, '-/orders')
        return len(orders[-1]['models']) == 2

    async def kill():
        await wait_until(is_ordered)
        await loading.running.processes.get(engine.name).kill()
        await loading.wait_calls(len(SERVICES) * len(REGIONS))
        await loading.running.processes.restart(engine.name)

    loop.run(kill())


@then('every engine holds v1 and v2')
def wait_loaded(loading, loop):
    async def is_up():
        try:
            await loading.wait_held('v1', 'v2')
        except OSError:
            return False
        return True

    loop.run(wait_until(is_up, LOADING_PATIENCE))


@then('the weight store has refused reads above its rate')
def check_refusals(loading, loop):
    weights = loading.running.platform.weights
    counts = json.loads(loop.run(weights.send('GET', '-/calls', None)))
    assert counts['limited'] > 0
    assert counts['bytes'] >= DEFAULT_BYTES * len(loading.engines) * 2


@then('every call was answered by version v1')
def check_calls(loading, loop, callers):
    callers[0].cancel()
    versions = {}
    for service in SERVICES:
        versions |= loop.run(loading.read_versions(service))
    assert len(loading.calls) > len(SERVICES)
    for asked, received in loading.calls:
        assert received.is_done, received.error
        assert received.texts == list_expected(asked)
        assert versions[asked.prompt] == {'v1'}


@then(
    parsers.parse(
        'no order was given to an engine more than {most:d} times in a row'
    )
)
def check_orders(loading, loop, most):
    counts = []
    for engine in loading.engines:
        orders = loop.run(loading.read(engine, '-/orders'))
        counts.append(
            max(len(list(same)) for _, same in itertools.groupby(orders)),
        )
    assert max(counts) <= most, counts
