"""Calls that may not be repeated, sent again while things fail."""

import asyncio

from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import wait_until
from baobabhinge_standins.tests.steps.confirmations import (
    Confirmation,
)

scenarios('at_most_once.feature')

RUNS = {'once': ['a'], 'never': []}
TIMES = {'once': 1, 'twice': 2}
TOLD = {
    'known-later': {'answered', 'unknown'},
    'any': {'answered', 'unknown', 'none'},
}


@given(parsers.parse('a confirmation with a key, and {failure}'))
def take_key(confirmation, loop, failure):
    loop.run(confirmation.take_key())
    loop.run(confirmation.fail(failure))


@given(parsers.parse('a confirmation with an Idempotency-Key, and {failure}'))
def bring_key(confirmation, loop, failure):
    confirmation.bring_key()
    loop.run(confirmation.fail(failure))


@when(
    parsers.parse(
        'it is sent through the {gateway}, and {failure} while it runs',
    ),
    target_fixture='first',
)
def send(confirmation, loop, gateway, failure):
    name = confirmation.names[gateway]
    if failure == 'no failure':
        return loop.run(confirmation.send(name))
    return loop.run(send_and_fail(confirmation, name, failure))


async def send_and_fail(confirmation, name, failure):
    await confirmation.fail('hold')
    sending = asyncio.create_task(confirmation.send(name))
    await wait_until(confirmation.has_run)
    await confirmation.fail(failure)
    await confirmation.fail('slow 1')
    return await sending


@when('it is sent again through every gateway at once', target_fixture='later')
def send_again(confirmation, loop):
    return loop.run(confirmation.send_everywhere())


@when('everything is healed')
def heal(confirmation, ledger, http, loop):
    loop.run(confirmation.heal())
    loop.run(Confirmation(ledger, http).wait_answered())


@then(
    parsers.parse(
        'it has run {runs}, and callers were told {first_told}, then {told}',
    ),
)
def check(confirmation, loop, first, later, runs, first_told, told):
    ran = loop.run(confirmation.list_runs())
    assert ran == RUNS[runs]
    assert first.outcome in TOLD.get(first_told, {first_told}), first
    for one in later:
        assert one.outcome in TOLD.get(told, {told}), one
    for one in confirmation.told:
        assert one.outcome != 'not-run' or not ran
        assert one.outcome != 'answered' or '"echo": "a"' in one.body


@given(parsers.parse('a confirmation without a key, and {failure}'))
def cut_off(confirmation, loop, failure):
    loop.run(confirmation.fail(failure))


@when('the owner is killed and started again while still cut off')
def restart(confirmation, loop):
    loop.run(confirmation.restart('owner'))


@then(
    parsers.parse('it gets a key with a witness, and is answered {times}'),
)
def check_answered(confirmation, loop, times):
    loop.run(confirmation.wait_answered())
    assert len(loop.run(confirmation.list_runs())) == TIMES[times]
