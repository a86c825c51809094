"""What was said not to run, counted at the backend servers."""

import asyncio
from contextlib import suppress

from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_standins.fleet import wait_until
from baobabhinge_standins.tests.steps.confirmations import Confirmation
from baobabhinge_standins.tests.steps.pausing import BODY, Pausing

scenarios('not_run_true.feature')

RUNS = {'once': ['a'], 'never': []}
# What runs goes on for a while after its caller went away.
GO_ON = 'slow 0.5'


@given('a confirmation with a key')
def take_key(confirmation, loop):
    loop.run(confirmation.take_key())


@given('a confirmation without a key')
def take_no_key(confirmation):
    """A confirmation starts without one."""


@when(parsers.parse('{failure} comes first'))
def fail(confirmation, loop, failure):
    loop.run(confirmation.fail(failure))


@when(parsers.re(r'it is sent through the (?P<gateway>\w+)$'))
def send(confirmation, loop, gateway):
    loop.run(confirmation.send(confirmation.names[gateway]))


@when('it is sent through the owner with PUT')
def put(confirmation, loop):
    loop.run(confirmation.send(confirmation.names['owner'], method='PUT'))


@when(
    parsers.parse('the {gateway} is asked what became of it'),
    target_fixture='asked',
)
def ask(confirmation, loop, gateway):
    return loop.run(confirmation.ask(confirmation.names[gateway], 'GET'))


@when(
    parsers.parse('it is closed through the {gateway}'),
    target_fixture='asked',
)
def close(confirmation, loop, gateway):
    return loop.run(confirmation.ask(confirmation.names[gateway], 'DELETE'))


@when('the bodies a, b and c are sent through every gateway at once')
def send_bodies(confirmation, loop):
    async def send_all():
        await asyncio.gather(
            *(
                confirmation.send(member.name, body)
                for member in confirmation.list_gateways()
                for body in 'abc'
            ),
        )

    loop.run(send_all())


@when('the caller goes away while it runs')
def go_away(confirmation, loop):
    async def send_and_leave():
        await confirmation.fail('hold')
        owner = confirmation.names['owner']
        sending = asyncio.create_task(confirmation.send(owner))
        await wait_until(confirmation.has_run)
        sending.cancel()
        with suppress(asyncio.CancelledError):
            await sending

    loop.run(send_and_leave())


@when('everything is healed')
def heal(confirmation, ledger, http, loop):
    loop.run(confirmation.heal())
    loop.run(Confirmation(ledger, http).wait_answered())


@then(parsers.parse('the caller is told {outcome}'))
def check_told(confirmation, outcome):
    assert confirmation.told[-1].outcome == outcome, confirmation.told


@then(parsers.parse('the asker is told {outcome}'))
def check_asked(asked, outcome):
    assert asked == outcome


@then(parsers.re(r'it has run (?P<runs>\w+)$'))
def check_runs(confirmation, loop, runs):
    assert loop.run(confirmation.list_runs()) == RUNS[runs]


@then('it has run never, also after the owner was sent it again')
def check_never(confirmation, loop):
    told = loop.run(confirmation.send(confirmation.names['owner']))
    assert told.outcome != 'answered'
    assert not loop.run(confirmation.list_runs())


@then('one of them has run, and the callers of the others were told so')
def check_one(confirmation, loop):
    runs = loop.run(confirmation.list_runs())
    assert len(runs) == 1
    echo = f'"echo": "{runs[0]}"'
    answered = [
        told for told in confirmation.told if told.outcome == 'answered'
    ]
    refused = [told for told in confirmation.told if told.code == '409']
    assert all(echo in told.body for told in answered)
    assert (len(answered), len(refused)) == (4, 8)


@then('the owner tells the next caller the answer, and it has run once')
def check_kept(confirmation, loop):
    loop.run(confirmation.fail(GO_ON))
    told = loop.run(confirmation.send(confirmation.names['owner']))
    assert told.outcome == 'answered', told
    assert loop.run(confirmation.list_runs()) == ['a']


@when('stop owner comes next')
def stop(confirmation, loop):
    loop.run(confirmation.fail('stop owner'))


@then('every gateway that is left tells the answer, and it has run once')
def check_copied(confirmation, loop):
    loop.run(confirmation.fail(GO_ON))
    for told in loop.run(confirmation.send_everywhere()):
        assert told.outcome == 'answered', told
    assert loop.run(confirmation.list_runs()) == ['a']


@when(
    parsers.parse('it is sent, and {paused} is paused {step}'),
    target_fixture='pausing',
)
def pause(confirmation, loop, paused, step):
    pausing = Pausing(confirmation)
    loop.run(pausing.pause(paused, step))
    return pausing


@when(
    parsers.parse('meanwhile it is {done} through the {gateway}'),
    target_fixture='later',
)
def go_elsewhere(confirmation, loop, done, gateway):
    name = confirmation.names[gateway]
    if done == 'closed':
        return loop.run(confirmation.ask(name, 'DELETE'))
    return loop.run(confirmation.send(name, BODY)).outcome


@then(parsers.parse('that caller is told {outcome}'))
def check_later(confirmation, later, outcome):
    assert later == outcome, confirmation.told


@when('it is sent once more through every gateway')
def send_once_more(confirmation, loop, pausing):
    async def send_all():
        await pausing.conclude()
        await asyncio.gather(
            *(
                confirmation.send(member.name, BODY)
                for member in confirmation.list_gateways()
            ),
        )

    loop.run(send_all())


@then(
    parsers.parse(
        'it has run {runs}, and whoever was told so was told the truth'
    ),
)
def check_truth(confirmation, loop, runs):
    ran = loop.run(confirmation.list_runs())
    expected = [BODY for _ in RUNS[runs]]
    assert ran == expected, confirmation.told
    told = {one.outcome for one in confirmation.told}
    assert not (ran and 'not-run' in told), confirmation.told
    assert ran or 'answered' not in told, confirmation.told
