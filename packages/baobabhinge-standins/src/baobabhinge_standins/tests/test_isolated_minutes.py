"""Minutes of isolation, outside CI: bin/test -m long FILE."""

import asyncio
import sys
from collections import Counter
from datetime import timedelta
from http import HTTPMethod

import aiohttp
import msgspec
from pytest_bdd import given, parsers, scenarios, then, when

from baobabhinge_caller import (
    CallFailedError,
    Completion,
    ServiceCall,
    open_client,
)
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.fleet import Role, wait_until
from baobabhinge_standins.tests.conftest import SMALL_PLAN, SMALL_SETTINGS
from baobabhinge_standins.tests.steps.completions import ask, list_expected
from baobabhinge_standins.tests.steps.operators import Generations

scenarios('isolated_minutes.feature')

PLAN = msgspec.structs.replace(
    SMALL_PLAN,
    gateways={'west': 3, 'east': 1},
    store_region='east',
)
SETTINGS = f"""{SMALL_SETTINGS}
[run-once ledger confirm]
method = POST
path = /trades/*
"""
LISTS = 'lists'
CALLERS = ('caller-0', 'caller-1', 'caller-2', 'caller-3')
TOKENS = 20
TENTHS = 10
ANSWERED = 'answered'


class Load:
    """Callers of a region that go on until their time is over."""

    def __init__(self, run, span):
        self.run = run
        self._clock = SystemClock()
        self._began = self._clock.read_monotonic()
        self._span = span
        self.wrong = []
        self.told = {}
        self.tenths = Counter()

    def measure(self):
        """Return the share of the time that is over."""
        return (self._clock.read_monotonic() - self._began) / self._span

    async def call_on(self, caller):
        gateways = self.run.roster.list_by(Role.gateway, 'west')
        seeds = [gateway.caller_address for gateway in gateways]
        turn = 0
        async with open_client(seeds, caller) as client:
            while self.measure() < 1:
                turn += 1
                await self.call(client, f'{caller}-{turn}')
                self.tenths[caller, int(self.measure() * TENTHS)] += 1

    async def call(self, client, name):
        """Complete once and confirm once."""
        answer = await client.complete(Completion('llm', name, TOKENS))
        if answer.text != ''.join(list_expected(ask(name, TOKENS))):
            self.wrong.append(answer)
        path = f'/trades/{name}'
        trade = ServiceCall('ledger', path, HTTPMethod.POST, b'a')
        try:
            await client.run_once(trade)
        except CallFailedError as failed:
            self.told[path] = failed.problem.outcome
        else:
            self.told[path] = ANSWERED

    async def restart_half_way(self, gateway):
        async def is_half_way():
            return self.measure() * 2 > 1

        await wait_until(is_half_way, self._span)
        await self.run.processes.get(gateway).kill()
        await self.run.processes.restart(gateway)


@given(
    'a region with three gateways and callers, cut off from everything else',
    target_fixture='run',
)
def cut_off(launch, loop):
    run = launch(PLAN, SETTINGS)
    loop.run(run.links.cut_region('west'))
    loop.run(run.processes.get(LISTS).kill())
    return run


@when(
    parsers.parse(
        'callers complete and confirm for {seconds:d} seconds, and {gateway} '
        'is killed and started again half way',
    ),
    target_fixture='load',
)
def call_on(run, loop, seconds, gateway):
    async def call_all():
        load = Load(run, timedelta(seconds=seconds))
        await asyncio.gather(
            load.restart_half_way(gateway),
            *map(load.call_on, CALLERS),
        )
        return load

    return loop.run(call_all())


@then('every completion was whole')
def check_completions(load):
    assert not load.wrong


@then('each trade ran as its caller was told')
def check_trades(run, loop, load):
    async def count_runs(region):
        ledgers = run.roster.list_by(Role.application, region)
        journals = [await run.backends.read_runs(one) for one in ledgers]
        return Counter(entry.path for runs in journals for entry in runs)

    ran = loop.run(count_runs('west'))
    sys.stderr.write(f'told: {Counter(load.told.values())}\n')
    sys.stderr.write(f'pairs of calls: {sorted(load.tenths.items())}\n')
    assert not loop.run(count_runs('east'))
    for path, told in load.told.items():
        allowed = {ANSWERED: {1}, 'not-run': {0}}.get(told, {0, 1})
        assert ran[path] in allowed, (path, told)


@then('every caller went on in every tenth of the time')
def check_tenths(load):
    wanted = {(caller, tenth) for caller in CALLERS for tenth in range(TENTHS)}
    assert load.tenths.keys() >= wanted, load.tenths


@when('the region is healed and the settings are published again')
def heal(run, loop, tmp_path):
    async def publish_lists():
        try:
            await run.vm_lists.publish()
        except aiohttp.ClientError:
            return False
        return True

    loop.run(run.links.heal())
    loop.run(run.processes.restart(LISTS))
    loop.run(wait_until(publish_lists))
    (tmp_path / '10.ini').write_text(f'{SETTINGS}\n; changed\n')
    loop.run(run.publish_folder(tmp_path))


@then('every gateway has the new generation')
def converge(run, loop, http):
    loop.run(Generations(run, http).wait_for(2))
