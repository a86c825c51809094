"""Measure what a run-once call costs more than a repeatable one.

One region of real processes, calls one after another, kinds in turn.
"""

import asyncio
import statistics
import sys
import tempfile
from pathlib import Path

import aiohttp
import msgspec

from baobabhinge_coordination import runonce
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.fleet import Role
from baobabhinge_standins.tests.conftest import run_configured
from baobabhinge_standins.tests.steps.confirmations import (
    LEDGER_PLAN,
    LEDGER_SETTINGS,
)

CALLS = 400
BATCH = 100
PARTS = 20
KEY = 'Baobabhinge-Key'
MILLISECONDS_PER_SECOND = 1000
CLOCK = SystemClock()
BODY = b'{"issue":"Harbour Ghost 7","from":"dealer-2","to":"collector-31"}'
PLAN = msgspec.structs.replace(
    LEDGER_PLAN,
    gateways={'west': 3},
    faulty_backends=False,
    faulty_peers=False,
)


class Caller:
    """Send calls one after another and note their times.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    gateways : list of str
        Addresses, the owner of the keys first.
    """

    def __init__(self, http, gateways):
        """Start without times."""
        self._http = http
        self._gateways = gateways
        self.times = {}

    async def measure(self):
        """Send every kind of call in turn."""
        keys = await self._take_keys()
        for number in range(CALLS):
            trade = f'/trades/{number}'
            await self._send('repeatable', 0, f'/notes/{number}', {})
            await self._send('at the owner', 0, trade, {KEY: keys.pop()})
            await self._send('passed on', 1, trade, {KEY: keys.pop()})
            await self._send('bound', 0, trade, {'Idempotency-Key': trade})

    async def _take_keys(self):
        """Return keys that name a witness."""
        keys = []
        while len(keys) < 2 * CALLS:
            async with self._http.post(
                f'http://{self._gateways[0]}/v1/keys',
                json={'count': BATCH},
            ) as answer:
                batch = await answer.json()
            if batch.get('witnessed'):
                keys.extend(batch['keys'])
            else:
                await asyncio.sleep(1)
        return keys

    async def _send(self, kind, gateway, path, headers):
        url = f'http://{self._gateways[gateway]}/services/ledger{path}'
        started = CLOCK.read_monotonic()
        async with self._http.post(url, data=BODY, headers=headers) as answer:
            await answer.read()
            answer.raise_for_status()
        elapsed = CLOCK.read_monotonic() - started
        milliseconds = elapsed.total_seconds() * MILLISECONDS_PER_SECOND
        self.times.setdefault(kind, []).append(milliseconds)


async def run(folder):
    """Start the processes in ``folder``, and return the times by kind."""
    context = run_configured(PLAN, LEDGER_SETTINGS, folder)
    async with context as running, aiohttp.ClientSession() as http:
        gateways = [
            member.caller_address
            for member in running.roster.list_by(Role.gateway)
        ]
        caller = Caller(http, gateways)
        await caller.measure()
    return caller.times


def list_messages():
    """Return the messages of one call."""
    key = runonce.RunOnceKey(
        region='west',
        owner=runonce.Party('west-gateway-1', 'a'.zfill(32)),
        witness=runonce.Party('west-gateway-2', 'b'.zfill(32)),
        epoch=7,
        minted=runonce.Retention().key_age,
        nonce='c'.zfill(32),
        tag='d'.zfill(32),
    )
    answer = runonce.KeptAnswer(200, (('X-Request-Id', key.nonce),), BODY)
    outcome = runonce.build_answered_outcome(answer)
    return (
        key,
        runonce.RecordIntent(key, key.nonce),
        runonce.IntentReply(runonce.IntentVerdict.recorded),
        runonce.CopyOutcome(key, outcome),
        outcome,
    )


def report_sizes():
    """Write the size of each message, in bytes of JSON."""
    for message in list_messages():
        size = len(msgspec.json.encode(message))
        sys.stdout.write(f'| {type(message).__name__} | {size} |\n')


def report_times(times):
    """Write the percentiles of each kind of call, in milliseconds."""
    for kind, listed in times.items():
        cuts = statistics.quantiles(listed, n=PARTS)
        median = round(statistics.median(listed), 2)
        high = round(cuts[-1], 2)
        sys.stdout.write(f'| {kind} | {median} | {high} |\n')


if __name__ == '__main__':
    report_sizes()
    with tempfile.TemporaryDirectory() as name:
        report_times(asyncio.run(run(Path(name))))
