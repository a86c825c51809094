import asyncio
import itertools
import re
import sys

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.generations import (
    FileChange,
    Publisher,
    PublishRequest,
)
from baobabhinge_platform.store import ConsulStore, ConsulTransport
from baobabhinge_standins.fleet import Role, name_link
from baobabhinge_standins.fleet.readiness import wait_until
from baobabhinge_standins.keyvalue.faults import StoreFaults
from baobabhinge_standins.links import CUT
from baobabhinge_standins.tests.conftest import (
    SMALL_PLAN,
    SMALL_SETTINGS,
    open_session,
)
from baobabhinge_standins.tests.steps.operators import (
    Generations,
    LateError,
    Operators,
)

scenarios('configuration.feature')

PLAN = msgspec.structs.replace(SMALL_PLAN, gateways={'west': 3, 'east': 2})
RACING = 4
FILE = '30-{name}.ini'
TEXT = '[workspace {name}]\nhome = {home}\n'
NUMBERS = itertools.count(1)
NEWER_KIND = '[shape west]\nsides = 3 sides\n'
http = pytest.fixture(scope='module')(open_session)


@pytest.fixture(scope='module')
def running(serve):
    return serve(PLAN, SMALL_SETTINGS)


@pytest.fixture(scope='module')
def generations(running, http):
    return Generations(running, http)


@pytest.fixture
def operators(running, tmp_path):
    return Operators(running, tmp_path)


@pytest.fixture
def state(running, loop, operators):
    """Yield what one scenario keeps; afterwards nothing is at fault."""
    kept = {
        'name': f'w{next(NUMBERS)}',
        'before': loop.run(operators.read_release()),
    }
    yield kept
    loop.run(end_faults(running))


@given('gateways in two regions that have the newest generation')
def settle(state, loop, generations):
    loop.run(generations.wait_for(state['before']['generation']))


async def end_faults(running):
    await set_faults(running)
    await running.links.heal()
    for member in running.roster.list_by(Role.gateway):
        child = running.processes.get(member.name)
        child.thaw()
        if child.process.returncode is not None:
            await running.processes.restart(member.name)
    await running.wait_ready()


async def set_faults(running, **faults):
    await running.platform.store.send('PUT', '-/faults', StoreFaults(**faults))


def list_files(name, home='west'):
    return {FILE.format(name=name): TEXT.format(name=name, home=home)}


@when(parsers.parse('4 operators publish {files} at once'))
def race(operators, loop, state, files):
    same = files == 'the same file'
    wanted = []
    for number in range(RACING):
        suffix = '' if same else f'-{number}'
        name = ''.join((state['name'], suffix))
        text = TEXT.format(name=name, home='west')
        wanted.append({FILE.format(name=name): f'{text}; {number}\n'})

    async def publish_all():
        return await asyncio.gather(
            *(
                operators.publish(files, author=f'operator-{number}')
                for number, files in enumerate(wanted)
            ),
        )

    state['wanted'] = wanted
    state['ended'] = loop.run(publish_all())


@then(
    parsers.parse(
        '{accepted:d} of them are accepted and the others are told of a '
        'conflict',
    ),
)
def check_race(state, accepted):
    codes = sorted(ended.exit_code for ended in state['ended'])
    assert codes.count(0) == accepted, state['ended']
    assert codes.count(3) == RACING - accepted, state['ended']
    lost = [ended.text for ended in state['ended'] if ended.exit_code]
    assert all('publish-conflict: ' in text for text in lost)


@then('every accepted text is what runs, and nothing else changed')
def check_texts(operators, loop, state):
    before = {
        listed['name']: listed['text'] for listed in state['before']['files']
    }
    pairs = zip(state['wanted'], state['ended'], strict=True)
    for files, ended in pairs:
        if not ended.exit_code:
            before |= files
    assert loop.run(operators.read_texts()) == before


@then('every gateway has the newest generation')
def check_everywhere(operators, loop, state, generations):
    release = loop.run(operators.read_release())
    assert release['generation'] >= state['before']['generation']
    loop.run(generations.wait_for(release['generation']))


@when(
    parsers.parse(
        'the key-value service loses the answer of the write of {key}',
    ),
)
def lose_answer(running, loop, key):
    loop.run(set_faults(running, lose_answers=1, lose_key=key))


@when('the key-value service goes down as it writes the manifest')
def go_down_at_manifest(running, loop):
    loop.run(
        set_faults(
            running,
            lose_answers=1,
            lose_key='manifest',
            down_after_loss=True,
        ),
    )


@when('the key-value service is down')
def go_down(running, loop):
    loop.run(set_faults(running, down=True))


@when('the key-value service is back')
def come_back(running, loop):
    loop.run(set_faults(running))


@when('an operator publishes a file')
def publish_file(operators, loop, state):
    files = list_files(state['name'])
    state['ended'] = [loop.run(operators.publish(files))]


@when('the operator publishes again with the same identifier')
def publish_again(operators, loop, state):
    found = re.search('--publish-id=([0-9a-f]+)', state['ended'][0].text)
    files = list_files(state['name'])
    option = f'--publish-id={found.group(1)}'
    state['ended'] = [loop.run(operators.publish(files, option))]


@then(
    parsers.parse(
        'the command ends with exit code {code:d} and says "{words}"',
    ),
)
def check_end(state, code, words):
    ended = state['ended'][0]
    assert ended.exit_code == code, ended.text
    assert words in ended.text


@then(parsers.parse('the file is published {times:d} times'))
def check_published(operators, loop, state, times):
    release = loop.run(operators.read_release())
    assert release['generation'] == state['before']['generation'] + times
    text = loop.run(operators.run('history', '--json')).text
    name = FILE.format(name=state['name'])
    records = [
        record
        for record in msgspec.json.decode(text)
        if any(audited['name'] == name for audited in record['files'])
    ]
    assert len(records) == times


@when(parsers.parse('{gateway} is killed and started again'))
def restart(running, loop, gateway):
    async def kill_and_start():
        await running.processes.get(gateway).kill()
        await running.processes.restart(gateway)

    loop.run(kill_and_start())


@then(parsers.parse('{gateway} takes the newest generation from its peers'))
def check_restarted(loop, state, generations, gateway):
    newest = state['before']['generation']
    loop.run(generations.wait_for(newest, [gateway]))


@when(parsers.parse('{how} and an operator publishes a file'))
def publish_under_fault(running, operators, loop, state, how):
    state['told'] = loop.run(FALLING_BEHIND[how](running))
    state['ended'] = [loop.run(operators.publish(list_files(state['name'])))]
    assert not state['ended'][0].exit_code, state['ended'][0].text


@then('the gateways that can be told have the newest generation')
def check_told(operators, loop, state, generations):
    release = loop.run(operators.read_release())
    assert release['generation'] == state['before']['generation'] + 1
    loop.run(generations.wait_for(release['generation'], state['told']))


@when('the fault ends')
def end(running, loop):
    loop.run(end_faults(running))


def list_gateways(running, region=''):
    return [
        member.name for member in running.roster.list_by(Role.gateway, region)
    ]


async def freeze_one(running):
    running.processes.get('west-gateway-2').freeze()
    return ['west-gateway-1', 'west-gateway-3', *list_gateways(running, 'east')]


async def cut_region(running):
    await running.links.cut_region('east')
    return list_gateways(running, 'west')


async def cut_store(running):
    names = [
        name_link(gateway, 'store')
        for gateway in list_gateways(running, 'east')
    ]
    await running.links.set_fault(CUT, *names)
    return list_gateways(running)


async def kill_region(running):
    for name in list_gateways(running, 'west'):
        await running.processes.get(name).kill()
    return list_gateways(running, 'east')


@when(
    parsers.parse('both watchers of {region} are cut off from the store'),
)
def cut_watchers(running, loop, generations, region):
    watchers = loop.run(find_watchers(running, generations, region))
    names = [name_link(gateway, 'store') for gateway in watchers]
    loop.run(running.links.set_fault(CUT, *names))


async def find_watchers(running, generations, region):
    """Return the gateways of a region that watch, once they are two."""

    async def list_watchers():
        statuses = [
            await generations.read(name)
            for name in list_gateways(running, region)
        ]
        return [
            status['vm']
            for status in statuses
            if status and status['watches_manifest']
        ]

    found = []

    async def are_two():
        found.append(await list_watchers())
        return len(found[-1]) == 2

    await wait_until(are_two)
    return found[-1]


FALLING_BEHIND = {
    'west-gateway-2 is frozen': freeze_one,
    'east is cut off from west': cut_region,
    'east is cut off from the store': cut_store,
    'every gateway of west is killed': kill_region,
}


@when('settings of a newer kind are accepted')
def accept_newer_kind(running, loop, http, state):
    async def skip(duration):
        """Do not wait."""

    async def publish():
        address = running.platform.store_address
        store = ConsulStore(ConsulTransport(http, address))
        publisher = Publisher(store, list, SystemClock(), skip)
        name = FILE.format(name=state['name'])
        change = FileChange(name, '', NEWER_KIND)
        request = PublishRequest(state['name'], 'lead', (change,))
        return await publisher.publish(request)

    state['newer'] = loop.run(publish()).generation


@then(
    "every gateway tells that it can't read them and serves with the older",
)
def check_refusals(running, loop, state, generations):
    async def check():
        statuses = [
            await generations.read(name) for name in generations.list_names()
        ]
        assert all(
            status['generation'] == state['before']['generation']
            for status in statuses
            if status
        )
        return all(
            status
            and status['refused_generation'] == state['newer']
            and 'unknown-section' in status['refused_faults'][0]
            for status in statuses
        )

    try:
        loop.run(wait_until(check))
    except TimeoutError as late:
        raise LateError(loop.run(generations.describe())) from late


@when(parsers.parse('an operator drains {vm}'))
def drain(operators, loop, generations, vm):
    loop.run(change_drain(operators, generations, vm))


@when(parsers.parse('an operator takes the drain of {vm} back'))
def undo_drain(operators, loop, generations, vm):
    loop.run(change_drain(operators, generations, vm, '--undo'))


async def change_drain(operators, generations, *words):
    ended = await operators.run('drain', *words)
    assert not ended.exit_code, ended.text
    release = await operators.read_release()
    await generations.wait_for(release['generation'])


@when(parsers.parse('an operator tries "{command}"'))
def try_command(operators, loop, state, command):
    state['ended'] = [loop.run(operators.run(*command.split()))]


@then('nothing is published')
def check_nothing(operators, loop, state):
    check_published(operators, loop, state, 0)


@when(parsers.parse('{vm} goes from the list of vms'))
def go_from_list(running, loop, vm):
    loop.run(running.vm_lists.remove(vm))


@then(parsers.parse('callers are not told to use {vm}'))
def check_left_out(running, operators, loop, vm):
    loop.run(wait_until(lambda: is_listed(running, operators, vm, False)))


@then(parsers.parse('callers are told to use {vm} again'))
def check_listed(running, operators, loop, vm):
    loop.run(wait_until(lambda: is_listed(running, operators, vm, True)))


async def is_listed(running, operators, vm, wanted):
    """Tell whether every gateway lists the vm, or none does."""
    listed = [
        vm in (await operators.ask('entries', gateway)).text
        for gateway in list_gateways(running)
    ]
    return set(listed) == {wanted}


@then(
    parsers.parse(
        "the operators' status lists {vm} as no entry, and one lease in each "
        'region',
    ),
)
def check_status(running, operators, loop, vm):
    async def check():
        ended = await operators.ask('status', *list_gateways(running))
        lines = ended.text.splitlines()
        leases = [line for line in lines if 'fencing number' in line]
        others = [line for line in lines if 'no entry' in line]
        assert len(lines) == len(list_gateways(running)), lines
        assert [line.split()[0] for line in others] == [vm], lines
        assert 'draining' in others[0], lines
        return len(leases) == 2

    loop.run(wait_until(check))


@then(
    parsers.parse('{vm} runs none of {count:d} calls that come in its region'),
)
def check_runs_nothing(running, loop, http, vm, count):
    assert not loop.run(count_runs(running, http, vm, count))


@then(parsers.parse('{vm} runs calls again'))
def check_runs_again(running, loop, http, vm):
    async def check():
        return await count_runs(running, http, vm, 1) == 1

    loop.run(wait_until(check))


async def count_runs(running, http, vm, count):
    """Return how many of some calls the backend server ran."""
    member = running.roster.get(vm)
    before = len(await running.backends.read_runs(member))
    gateway = running.roster.get(list_gateways(running, member.region)[0])
    url = f'http://{gateway.caller_address}/services/ledger/owners/9'
    for _ in range(count):
        async with http.get(url) as answer:
            assert answer.status == 200, await answer.text()
    return len(await running.backends.read_runs(member)) - before


@when(
    parsers.parse('an operator publishes {count:d} changes one after another'),
)
def publish_many(operators, loop, state, generations, count):
    state['seconds'] = []
    for number in range(count):
        home = 'west' if number % 2 else 'east'
        files = list_files(state['name'], home)
        ended = loop.run(operators.publish(files))
        assert not ended.exit_code, ended.text
        wanted = state['before']['generation'] + number + 1
        state['seconds'].append(loop.run(generations.wait_for(wanted)))


@then(
    parsers.parse('every gateway has each of them within {bound:d} seconds'),
)
def check_times(state, record_property, bound):
    report_times(state, record_property)
    assert max(state['seconds']) < bound


@then('every gateway has each of them, and the times are reported')
def report_times(state, record_property):
    seconds = sorted(state['seconds'])
    record_property('seconds_until_in_force', seconds)
    shown = ' '.join(f'{each:.2f}' for each in seconds)
    sys.stderr.write(f'seconds until in force everywhere: {shown}\n')
