"""Calls that may not be repeated, sent again while things fail.

Before the mechanism, with the repeatable executor in its place, see the commit
that added this file.
"""

import asyncio

import aiohttp
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import wait_until
from baobabhinge_standins.tests.conftest import run_configured
from baobabhinge_standins.tests.steps.confirmations import (
    LEDGER_PLAN,
    LEDGER_SETTINGS,
    OWNER,
    Confirmation,
)

scenarios('at_most_once.feature')

RUNS = {'once': ['a'], 'never': []}
TOLD = {
    'known-later': {'answered', 'unknown'},
    'any': {'answered', 'unknown', 'none'},
}


@pytest.fixture(scope='module')
def ledger(loop, tmp_path_factory):
    folder = tmp_path_factory.mktemp('ledger')
    context = run_configured(LEDGER_PLAN, LEDGER_SETTINGS, folder)
    yield loop.run(context.__aenter__())
    loop.run(context.__aexit__(None, None, None))


@pytest.fixture
def http(loop):
    async def open_session():
        return aiohttp.ClientSession()

    session = loop.run(open_session())
    yield session
    loop.run(session.close())


@pytest.fixture
def confirmation(ledger, http, loop):
    confirmation = Confirmation(ledger, http)
    yield confirmation
    loop.run(confirmation.heal())


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
    await confirmation.fail('slow ledgers')
    sending = asyncio.create_task(confirmation.send(name))
    await wait_until(confirmation.has_run)
    await confirmation.fail(failure)
    return await sending


@when('it is sent again through every gateway at once', target_fixture='later')
def send_again(confirmation, loop):
    return loop.run(confirmation.send_everywhere())


@when('everything is healed')
def heal(confirmation, ledger, http, loop):
    loop.run(confirmation.heal())
    loop.run(wait_for_owner(Confirmation(ledger, http)))


async def wait_for_owner(later):
    """Wait until the owner has run a later confirmation.

    What it was about to do when it was paused comes before. Keys that name a
    witness which has ended are not run; the owner finds another one.
    """

    async def is_answered():
        await later.take_key()
        return (await later.send(OWNER)).outcome == 'answered'

    await wait_until(is_answered)


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
