import asyncio

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import Role
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.tests.conftest import (
    SMALL_PLAN,
    SMALL_SETTINGS,
)
from baobabhinge_standins.tests.steps.completions import ask, send

scenarios('status.feature')

SETTINGS = f"""{SMALL_SETTINGS}
[workspace dealers]
home = west
[limit dealers-at-once]
service = llm
workspace = dealers
in-flight = 2 requests
"""
MARK = 'text-of-a-dealer'
CLAIMED = 'text-of-a-caller'
CLAIM = {'Baobabhinge-Path': 'g@east', 'X-Request-Id': CLAIMED}
DEALER = {'Baobabhinge-Workspace': 'dealers'}
TOKENS = 200


@pytest.fixture(scope='module')
def limited(serve):
    return serve(SMALL_PLAN, SETTINGS)


@given(
    'two regions whose dealers may have 2 calls in flight',
    target_fixture='running',
)
def start(limited):
    return limited


def get_address(running, region):
    return running.roster.list_by(Role.gateway, region)[0].caller_address


async def read_status(http, running, region):
    url = f'http://{get_address(running, region)}/v1/status'
    async with http.get(url) as answer:
        return await answer.json()


@when(
    parsers.parse('a dealer of west asks the model, bound to {bound}'),
    target_fixture='received',
)
def ask_model(running, http, loop, bound):
    binding = {'Baobabhinge-Region-Bound': bound}
    headers = DEALER if bound == 'nothing' else DEALER | binding
    address = get_address(running, 'west')
    return loop.run(send(http, address, ask(MARK, 3), headers=headers))


@then(
    'the status of west shows the decision with its candidates and winner',
)
def check_decision(running, http, loop, received):
    assert received.is_done
    status = loop.run(read_status(http, running, 'west'))
    decision = next(
        shown
        for shown in status['decisions']['recent']
        if shown['request_id'] == received.request_id
    )
    assert decision['service'] == 'llm'
    assert decision['kind'] == 'home'
    assert decision['winner'] == 'west-llm-1'
    best = decision['candidates'][0]
    assert best['vm'] == 'west-llm-1'
    assert best['wait_ms'] >= 0
    assert best['first_ms'] >= best['wait_ms']
    assert status['decisions']['kinds']['home'] >= 1


@then('the status of east does not name the call')
def check_east(running, http, loop, received):
    status = loop.run(read_status(http, running, 'east'))
    assert received.request_id not in str(status)


@then('no status shows any text of the call')
def check_texts(running, http, loop, received):
    for region in ('west', 'east'):
        status = str(loop.run(read_status(http, running, region)))
        assert MARK not in status
        assert not any(text in status for text in received.texts)


@then(
    'the status of west has the times to the first token and to the end',
)
def check_latencies(running, http, loop):
    latencies = loop.run(read_status(http, running, 'west'))['latencies']
    assert latencies['first-token']['count'] == latencies['answer']['count']
    assert latencies['first-token']['p50_ms'] > 0
    assert latencies['first-token']['p50_ms'] <= latencies['answer']['p50_ms']


@when(
    'a dealer of west asks the model as if it were passed on',
    target_fixture='received',
)
def claim(running, http, loop):
    address = get_address(running, 'west')
    return loop.run(send(http, address, ask(MARK, 3), headers=CLAIM))


@then("the call has an identifier of the gateway's own")
def check_identifier(running, http, loop, received):
    assert received.is_done
    assert received.request_id
    assert received.request_id != CLAIMED
    assert received.ids == {received.request_id}
    assert CLAIMED not in str(loop.run(read_status(http, running, 'west')))


@when('a dealer of west looks an owner up')
def look_up(running, http, loop):
    address = get_address(running, 'west')

    async def look():
        url = f'http://{address}/services/ledger/owners/9'
        async with http.get(url, headers=DEALER) as answer:
            assert answer.status == 200, await answer.text()

    loop.run(look())


@then('the status of west has the times of each service and of all together')
def check_services(running, http, loop):
    status = loop.run(read_status(http, running, 'west'))
    services = status['latencies_by_service']
    assert services.keys() == {'llm', 'ledger'}
    assert services['llm'].keys() == {'answer', 'first-token'}
    assert services['ledger'].keys() == {'answer'}
    counts = [service['answer']['count'] for service in services.values()]
    assert min(counts) >= 1
    assert sum(counts) == status['latencies']['answer']['count']
    for service in services.values():
        times = service['answer']
        assert times.keys() == {'count', 'p50_ms', 'p95_ms', 'p99_ms'}
        assert 0 < times['p50_ms'] <= times['p95_ms']
        assert times['p95_ms'] <= times['p99_ms']


@when(
    parsers.parse(
        'dealers of west hold 2 streams open and ask once more with {claimed}',
    ),
    target_fixture='outcome',
)
def fill(running, http, loop, claimed):
    headers = DEALER if claimed == 'no claim' else DEALER | CLAIM
    return loop.run(fill_limit(running, http, headers))


async def fill_limit(running, http, headers):
    """Return the refused call, and the limit before and after it."""
    before = await read_limit(http, running)
    address = get_address(running, 'west')
    async with asyncio.TaskGroup() as streams:
        first = [asyncio.Event(), asyncio.Event()]

        for started in first:

            async def note(_, started=started):
                started.set()

            asked = ask(MARK, TOKENS)
            streams.create_task(send(http, address, asked, note, DEALER))
        for started in first:
            await asyncio.wait_for(started.wait(), 20)
        refused = await send(http, address, ask(MARK, 3), headers=headers)
        limit = await read_limit(http, running)
    return refused, before, limit


async def read_limit(http, running):
    status = await read_status(http, running, 'west')
    assert len(status['limits']) == 1
    return status['limits'][0]


@then('the third is refused by the limit')
def check_refusal(outcome):
    refused, _, _ = outcome
    assert refused.status == 429
    assert refused.error['code'] == 'limit-reached'
    assert refused.error['outcome'] == 'not-run'


@then(
    'the status of west shows the limit with 2 of 2 in use and a refusal',
)
def check_limit(outcome):
    _, before, limit = outcome
    assert limit == {
        'name': 'dealers-at-once',
        'service': 'llm',
        'workspace': 'dealers',
        'in_flight_allowed': 2,
        'in_flight': 2,
        'calls_per_second_allowed': None,
        'calls_per_second': 0,
        'refused': before['refused'] + 1,
    }


@then(
    'the status of west shows 0 of 2 in use once the streams have ended',
)
def check_end(running, loop):
    async def is_free():
        async with aiohttp.ClientSession() as http:
            limit = await read_limit(http, running)
        return limit['in_flight'] == 0

    loop.run(wait_until(is_free))
