import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.soak.deployment import run_stage
from baobabhinge_standins.traffic.audit import read_journals

REPEATS = 3
ENDINGS = {
    'at once': EngineFaults(),
    'after 1.5 s without an answer': EngineFaults(
        ending_seconds=1.5,
        ends_in_silence=True,
    ),
    'after 0.3 s, answering until it': EngineFaults(ending_seconds=0.3),
}
LIMIT = aiohttp.ClientTimeout(total=20)

scenarios('crash_in_regions.feature')


@pytest.fixture
def stage(loop, tmp_path_factory):
    context = run_stage(tmp_path_factory.mktemp('regions'))
    yield loop.run(context.__aenter__())
    loop.run(context.__aexit__(None, None, None))


@given('three regions with one engine each', target_fixture='running')
def start(stage):
    return stage.deployment


@given(parsers.parse('an engine that crashes ends {how}'))
def set_ending(stage, loop, how):
    async def set_all():
        for engine in stage.deployment.roster.list_by(Role.engine):
            await stage.deployment.backends.set_faults(engine, ENDINGS[how])

    loop.run(set_all())


@when('a caller in east sends a marked prompt three times')
def send(running, loop):
    async def send_all():
        async with aiohttp.ClientSession(timeout=LIMIT) as http:
            for number in range(REPEATS):
                entry = running.choose_entry('east', number)
                url = f'http://{entry}/v1/completions'
                body = {'model': 'llm', 'prompt': CRASH_MARK}
                async with http.post(url, json=body) as answer:
                    await answer.read()

    loop.run(send_all())


async def end_engines(stage):
    """End those that are still ending; their journals stay."""
    for engine in stage.deployment.roster.list_by(Role.engine):
        await stage.deployment.processes.get(engine.name).kill()


@then('at most two engines have run it')
def count(stage, loop):
    loop.run(end_engines(stage))
    loop.run(stage.revive_all())
    journals = loop.run(read_journals(stage.deployment))
    regions = [region for region, _ in journals.models]
    assert 0 < len(regions) <= 2, regions
