"""Gateways that are thawed after owner and witness forgot a key."""

import asyncio
from datetime import timedelta

import aiohttp
import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_coordination.runonce import (
    AskOutcome,
    OutcomeReason,
    decode_key,
)
from baobabhinge_gateway.runonce.peer_client import Question, RunOncePeerClient
from baobabhinge_standins.fleet import wait_until
from baobabhinge_standins.tests.steps.confirmations import (
    LEDGER_PLAN,
    LEDGER_SETTINGS,
    Confirmation,
    Told,
)

scenarios('past_retention.feature')

PLAN = msgspec.structs.replace(
    LEDGER_PLAN,
    name='forgetful',
    process_lines=('key-age = 20 s',),
)
# The first caller waits until the gateway is thawed.
PATIENCE = aiohttp.ClientTimeout(total=300)
FORGETTING = timedelta(minutes=3)
RUNS = {'once': ['a'], 'never': []}
FORGOTTEN = 'unknown'


@pytest.fixture(scope='module')
def running(serve):
    return serve(PLAN, LEDGER_SETTINGS)


@pytest.fixture
def confirmation(running, http, loop):
    confirmation = Confirmation(running, http)
    yield confirmation
    loop.run(confirmation.heal())


@given('a confirmation with a key that is forgotten after half a minute')
def take_key(confirmation, loop):
    loop.run(confirmation.take_key())


async def send_patiently(confirmation, http, gateway):
    """Send it and wait for an answer as long as the gateway is paused."""
    address = confirmation.running.roster.get(gateway).caller_address
    async with http.post(
        f'http://{address}/services/ledger{confirmation.path}',
        data=b'a',
        headers={'Baobabhinge-Key': confirmation.key},
        timeout=PATIENCE,
    ) as answer:
        outcome = answer.headers.get('Baobabhinge-Outcome', 'answered')
        return Told(outcome, str(answer.status), await answer.text())


@when(
    parsers.parse('it is sent, and {paused} is paused {step}'),
    target_fixture='first',
)
def pause(confirmation, http, loop, paused, step):
    async def send_and_pause():
        freezing = f'freeze {paused}'
        if step == 'before it reads it':
            await confirmation.fail(freezing)
        else:
            await confirmation.fail('slow 1')
        name = confirmation.names[paused]
        sending = send_patiently(confirmation, http, name)
        first = asyncio.create_task(sending)
        if step == 'while it runs it':
            await wait_until(confirmation.has_run)
            await confirmation.fail(freezing)
        return first

    return loop.run(send_and_pause())


@when(
    parsers.parse('meanwhile it is sent through the {other}'),
    target_fixture='second',
)
def send(confirmation, loop, other):
    return loop.run(confirmation.send(confirmation.names[other]))


@then(parsers.parse('that caller is told {outcome}'))
def check_second(second, outcome):
    assert second.outcome == outcome, second


@when('the witness has forgotten the key')
def forget(confirmation, http, loop):
    witness = confirmation.running.roster.get(confirmation.names['witness'])
    order = AskOutcome(decode_key(confirmation.key))

    async def is_forgotten():
        told = await RunOncePeerClient(http).ask(
            witness.address,
            Question.witness_look_up,
            order,
        )
        return told.reason is OutcomeReason.witness_lost

    loop.run(wait_until(is_forgotten, FORGETTING))


@when('the gateway is thawed')
def thaw(confirmation, loop):
    loop.run(confirmation.heal())
    confirmation.silent.clear()


async def wait_renewed(other):
    """Wait until the owner has a new epoch; it drops old entries before."""
    await other.wait_answered()
    present = read_epoch(other)

    async def is_renewed():
        await other.take_key()
        return read_epoch(other) != present

    await wait_until(is_renewed)


def read_epoch(confirmation):
    key = decode_key(confirmation.key)
    return key.witness, key.epoch


@when('it is sent once more through every gateway')
def send_everywhere(confirmation, running, http, loop, first):
    async def send_all():
        confirmation.told.append(await first)
        await wait_renewed(Confirmation(running, http))
        return await confirmation.send_everywhere()

    for told in loop.run(send_all()):
        assert told.outcome == FORGOTTEN, told


@then(
    parsers.parse('it has run {runs}, and nobody was told more than is true'),
)
def check_truth(confirmation, loop, runs):
    ran = loop.run(confirmation.list_runs())
    assert ran == RUNS[runs], confirmation.told
    told = {one.outcome for one in confirmation.told}
    assert not (ran and 'not-run' in told), confirmation.told
    assert ran or 'answered' not in told, confirmation.told
