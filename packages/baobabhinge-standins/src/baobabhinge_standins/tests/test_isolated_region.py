import json

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.tests.conftest import SMALL_PLAN, SMALL_SETTINGS

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 2, 'east': 1},
    store_region='east',
)
LISTS = 'lists'

scenarios('isolated_region.feature')


@pytest.fixture
def running(launch):
    return launch(PLAN)


async def ask(running, gateway, path, body=None):
    address = running.roster.get(gateway).caller_address
    async with (
        aiohttp.ClientSession() as http,
        http.request(
            'GET' if body is None else 'POST',
            f'http://{address}{path}',
            data=body,
        ) as answer,
    ):
        return answer.status, await answer.text()


async def wait_answer(running, gateway, path, accepts):
    async def check():
        try:
            return accepts(*await ask(running, gateway, path))
        except aiohttp.ClientError:
            return False

    await wait_until(check)


async def read_runs(running, region):
    journals = [
        await running.backends.read_engine_runs(member)
        for member in running.roster.list_by(Role.engine, region)
    ]
    journals += [
        await running.backends.read_runs(member)
        for member in running.roster.list_by(Role.application, region)
    ]
    return sum(map(len, journals))


@given('west is cut off from the store, the list of vms and east')
def cut_off(running, loop):
    loop.run(running.links.cut_region('west'))
    loop.run(running.processes.get(LISTS).kill())


@then(parsers.parse('west serves these calls through {gateway} by itself'))
def serve(running, loop, gateway, datatable):
    before = loop.run(read_runs(running, 'west'))
    for path, body in datatable[1:]:
        sent = None if body == 'none' else body
        status, text = loop.run(ask(running, gateway, path, sent))
        assert status == 200, text
    after = loop.run(read_runs(running, 'west'))
    assert after - before == len(datatable) - 1


@when(parsers.parse('{gateway} is killed and started again'))
def restart(running, loop, gateway):
    loop.run(running.processes.get(gateway).kill())
    loop.run(running.processes.restart(gateway))


@then(parsers.parse('{gateway} becomes ready'))
def become_ready(running, loop, gateway):
    loop.run(
        wait_answer(
            running, gateway, '/readyz', lambda status, _: status == 200
        ),
    )


@then(parsers.re('(?P<gateway>[^ ]+) offers (?P<names>.+)'))
def offer(running, loop, gateway, names):
    wanted = set(names.split(' and '))

    def accepts(status, text):
        listed = json.loads(text)['entries']
        return wanted <= {entry['vm'] for entry in listed}

    loop.run(wait_answer(running, gateway, '/v1/entries', accepts))


@when('the links are healed and the settings are published again')
def heal(running, loop, tmp_path):
    loop.run(running.links.heal())
    loop.run(running.processes.restart(LISTS))
    loop.run(wait_lists(running))
    folder = tmp_path / 'changed'
    folder.mkdir()
    (folder / '10.ini').write_text(f'{SMALL_SETTINGS}\n; changed\n')
    loop.run(running.publish_folder(folder))


async def wait_lists(running):
    async def check():
        try:
            await running.vm_lists.publish()
        except aiohttp.ClientError:
            return False
        return True

    await wait_until(check)


@then('every gateway has the new generation')
def converge(running, loop):
    for member in running.roster.list_by(Role.gateway):
        loop.run(wait_answer(running, member.name, '/v1/status', is_second))


def is_second(status, text):
    return json.loads(text)['generation'] == 2
