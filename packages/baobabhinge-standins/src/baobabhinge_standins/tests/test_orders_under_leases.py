import base64
import json

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.control import ControlClient
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

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 2},
    backends=(
        BackendPlan('llm', Role.engine, 'west', 1, ('--fencing=ignore',)),
        BackendPlan('llm', Role.engine, 'west', 1, ('--fencing=refuse',)),
    ),
)

scenarios('orders_under_leases.feature')


def render_with_version(version):
    return render_settings(
        msgspec.structs.replace(PLAN, backends=()),
        render_model('20 s'),
        render_placement('llm', 'west', 2),
        render_version('llm', version),
    )


class Orders:
    """Lease and orders of a deployment, read past the gateways."""

    def __init__(self, running):
        self.running = running
        self.engines = running.roster.list_by(Role.engine)
        self.holder = ''
        self.answers = []

    async def read_engine(self, engine, path):
        async with aiohttp.ClientSession() as http:
            control = ControlClient(http, f'http://{engine.address}')
            return json.loads(await control.send('GET', path, None))

    async def read_holder(self):
        path = 'v1/kv/baobabhinge/leases/west'
        body = await self.running.platform.store.send('GET', path, None)
        return json.loads(base64.b64decode(json.loads(body)[0]['Value']))

    async def wait_loaded(self, version):
        for engine in self.engines:

            async def is_loaded(engine=engine):
                listed = await self.read_engine(engine, 'v1/models')
                versions = [one['version'] for one in listed['models']]
                return versions == [version]

            await wait_until(is_loaded)

    async def read_numbers(self, engine):
        orders = await self.read_engine(engine, '-/orders')
        return [order['fencing'] for order in orders]

    async def send_late_order(self, engine, fencing):
        models = [{'model': 'llm', 'version': 'v1', 'adapters': []}]
        async with (
            aiohttp.ClientSession() as http,
            http.put(
                f'http://{engine.address}/v1/orders',
                json={'fencing': fencing, 'models': models, 'role': 'serve'},
            ) as answer,
        ):
            return answer.status


@given(
    'a region whose engines refuse or ignore old fencing numbers',
    target_fixture='orders',
)
def start(launch):
    return Orders(launch(PLAN, render_with_version('v1')))


@given('every engine has loaded version v1 under one lease')
def load_first(orders, loop):
    loop.run(orders.wait_loaded('v1'))
    orders.holder = loop.run(orders.read_holder())


@pytest.fixture
def old_number(orders, loop):
    numbers = [loop.run(orders.read_numbers(one)) for one in orders.engines]
    assert len({number for taken in numbers for number in taken}) == 1
    return numbers[0][0]


@when('the holder of the lease is frozen')
def freeze(orders, old_number):
    orders.running.processes.get(orders.holder).freeze()


@when(parsers.parse('settings with version {version} are published'))
def publish(orders, loop, tmp_path, version):
    folder = tmp_path / version
    folder.mkdir()
    (folder / '10.ini').write_text(render_with_version(version))
    loop.run(orders.running.publish_folder(folder))


@then('every engine has loaded version v2 under a later lease')
def load_second(orders, loop, old_number):
    loop.run(orders.wait_loaded('v2'))
    for engine in orders.engines:
        assert loop.run(orders.read_numbers(engine))[-1] > old_number
    assert loop.run(orders.read_holder()) != orders.holder


@when('an order of the frozen holder for version v1 arrives at every engine')
def arrive_late(orders, loop, old_number):
    orders.answers = [
        loop.run(orders.send_late_order(engine, old_number))
        for engine in orders.engines
    ]


@then('the engine that minds numbers has refused it and the other has not')
def check_answers(orders):
    assert orders.answers == [202, 409]


@when('the frozen holder is thawed')
def thaw(orders):
    orders.running.processes.get(orders.holder).thaw()


@then('the thawed holder has given no order')
def check_numbers(orders, loop, old_number):
    ignoring, refusing = [
        loop.run(orders.read_numbers(engine)) for engine in orders.engines
    ]
    assert refusing == sorted(refusing)
    first_new = next(
        index for index, number in enumerate(ignoring) if number > old_number
    )
    assert ignoring[first_new:].count(old_number) == 1


@then('the client directory names both gateways')
def check_directory(orders, loop):
    gateways = orders.running.roster.list_by(Role.gateway)
    wanted = sorted(gateway.caller_address for gateway in gateways)

    async def is_written():
        lists = orders.running.platform.lists
        try:
            body = await lists.send('GET', 'directory/west', None)
        except aiohttp.ClientResponseError:
            return False
        return json.loads(body)[0]['targets'] == wanted

    loop.run(wait_until(is_written))
