import json

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.plans import BackendPlan
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.fleet.settings import (
    render_model,
    render_plain,
    render_settings,
    render_version,
)
from baobabhinge_standins.keyvalue.faults import StoreFaults
from baobabhinge_standins.tests.conftest import SMALL_PLAN

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 3},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 1),
        BackendPlan('ledger', Role.application, 'west', 1),
    ),
)
KINDS = ('read', 'watch', 'write', 'session')
RETRIES = 12

scenarios('store_outage.feature')


def render_with_version(version):
    return render_settings(
        PLAN,
        render_model('20 s'),
        render_plain('5 s'),
        render_version('llm', version),
    )


async def ask(address, path, body=None):
    async with (
        aiohttp.ClientSession() as http,
        http.request(
            'GET' if body is None else 'POST',
            f'http://{address}{path}',
            data=body,
        ) as answer,
    ):
        return answer.status, await answer.text()


@pytest.fixture
def gateways(running):
    listed = running.roster.list_by(Role.gateway)
    return [gateway.caller_address for gateway in listed]


async def read_status(address):
    return json.loads((await ask(address, '/v1/status'))[1])


async def count_reported(gateways):
    reports = [await read_status(address) for address in gateways]
    return sum(sum(report['store_calls'].values()) for report in reports)


async def count_served(running):
    body = await running.platform.store.send('GET', '-/calls', None)
    counts = json.loads(body)
    return sum(counts[kind] for kind in KINDS), counts['limited']


async def wait_version(running, version):
    engine = running.roster.list_by(Role.engine)[0]

    async def is_loaded():
        body = (await ask(engine.address, '/v1/models'))[1]
        listed = json.loads(body)['models']
        return [one['version'] for one in listed] == [version]

    await wait_until(is_loaded)


@given(
    'a region of three gateways whose engine runs version v1',
    target_fixture='running',
)
def start(launch, loop):
    running = launch(PLAN, render_with_version('v1'))
    loop.run(wait_version(running, 'v1'))
    return running


@when(parsers.parse('the key-value service is {state}'))
def set_store(running, loop, state):
    faults = StoreFaults(down=state == 'down')
    loop.run(running.platform.store.send('PUT', '-/faults', faults))


@then('the lease of the region lapses at its holder')
def lapse(gateways, loop):
    async def is_lapsed():
        reports = [await read_status(address) for address in gateways]
        return not any(report['leases'] for report in reports)

    assert not loop.run(is_lapsed())
    loop.run(wait_until(is_lapsed))


@then('every gateway answers these calls')
def serve(gateways, loop, datatable):
    for address in gateways:
        for path, body in datatable[1:]:
            sent = None if body == 'none' else body
            status, text = loop.run(ask(address, path, sent))
            assert status == 200, text


@then('the gateways report the calls that the key-value service counted')
def compare(running, gateways, loop):
    async def count_both():
        """Return both counts from a moment at which no call was made."""
        counts = []

        async def is_quiet():
            reported = await count_reported(gateways)
            served, _ = await count_served(running)
            counts.append((reported, served))
            return await count_reported(gateways) == reported

        await wait_until(is_quiet)
        return counts[-1]

    reported, served = loop.run(count_both())

    async def has_retried():
        return await count_reported(gateways) > reported + RETRIES

    loop.run(wait_until(has_retried))
    later_reported, later_served = loop.run(count_both())
    grown = (later_reported - reported) - (later_served - served)
    assert abs(grown) <= len(gateways)


@when(parsers.parse('settings with version {version} are published'))
def publish(running, loop, tmp_path, version):
    folder = tmp_path / version
    folder.mkdir()
    (folder / '10.ini').write_text(render_with_version(version))
    loop.run(running.publish_folder(folder))


@then('the engine runs version v2')
def follow(running, loop):
    loop.run(wait_version(running, 'v2'))


@then('the key-value service has refused no call for its rate')
def check_rate(running, loop):
    assert loop.run(count_served(running))[1] == 0
