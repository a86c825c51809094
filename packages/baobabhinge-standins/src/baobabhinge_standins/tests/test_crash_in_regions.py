import aiohttp
import pytest
from pytest_bdd import given, scenarios, then, when

from baobabhinge_standins.engine.running import CRASH_MARK
from baobabhinge_standins.soak.deployment import run_stage
from baobabhinge_standins.traffic.audit import read_journals

REPEATS = 3
LIMIT = aiohttp.ClientTimeout(total=20)

scenarios('crash_in_regions.feature')


@pytest.fixture(scope='module')
def stage(loop, tmp_path_factory):
    context = run_stage(tmp_path_factory.mktemp('regions'))
    yield loop.run(context.__aenter__())
    loop.run(context.__aexit__(None, None, None))


@given('three regions with one engine each', target_fixture='running')
def start(stage):
    return stage.deployment


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


@then('at most two engines have run it')
def count(stage, loop):
    loop.run(stage.revive_all())
    journals = loop.run(read_journals(stage.deployment))
    regions = [region for region, _ in journals.models]
    assert 0 < len(regions) <= 2, regions
