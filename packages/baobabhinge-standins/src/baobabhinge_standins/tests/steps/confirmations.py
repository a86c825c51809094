"""Sending confirmations that may not be repeated, and making things fail."""

import asyncio
from itertools import count

import aiohttp
import msgspec

from baobabhinge_coordination.runonce import decode_key
from baobabhinge_standins.application.messages import ApplicationFaults
from baobabhinge_standins.fleet import (
    BackendPlan,
    DeploymentPlan,
    Role,
    name_link,
    wait_until,
)
from baobabhinge_standins.fleet.plans import WAN_LATENCY
from baobabhinge_standins.fleet.settings import (
    render_plain,
    render_run_once,
    render_settings,
)
from baobabhinge_standins.keyvalue.faults import StoreFaults
from baobabhinge_standins.links import CUT, REFUSED, Impairment, LinkFault

LEDGER_PLAN = DeploymentPlan(
    name='ledger',
    gateways={'east': 1, 'west': 3},
    backends=(
        BackendPlan('ledger', Role.application, 'west', 2),
        BackendPlan('ledger', Role.application, 'east', 1),
    ),
    wan_latency=WAN_LATENCY,
    link_bits_per_second=1_000_000_000,
    faulty_backends=True,
    faulty_peers=True,
)
LEDGER_SETTINGS = render_settings(
    LEDGER_PLAN,
    render_plain('5 s'),
    render_run_once('confirm', 'POST'),
    render_run_once('replace', 'PUT'),
)
LOST_REPLIES = LinkFault(backward=Impairment(is_cut=True))
LIMIT = aiohttp.ClientTimeout(total=8)
NUMBERS = count(1)
OWNER = 'west-gateway-1'


class Told(msgspec.Struct):
    """What a caller was told."""

    outcome: str
    code: str = ''
    body: str = ''


class Confirmation:
    """One confirmation with its key, and everything it can meet."""

    def __init__(self, running, http):
        self.running = running
        self._http = http
        self.path = f'/trades/{next(NUMBERS)}'
        self._headers = {'Baobabhinge-Deadline-Ms': '3000'}
        self.told = []
        self.silent = set()
        self.stopping = set()
        self.names = {'owner': OWNER, 'entry': 'west-gateway-2'}

    @property
    def key(self):
        """Return the run-once key as callers send it."""
        return self._headers['Baobabhinge-Key']

    async def take_key(self):
        """Take a key from the owner that names a witness."""
        await wait_until(self._take_witnessed_key)
        witness = decode_key(self.key).witness.vm
        names = {member.name for member in self.list_gateways('west')}
        self.names = {
            'owner': OWNER,
            'witness': witness,
            'entry': (names - {OWNER, witness}).pop(),
            'away': 'east-gateway-1',
        }

    def bring_key(self):
        """Bring an Idempotency-Key in place of a run-once key."""
        self._headers['Idempotency-Key'] = f'caller{self.path}'

    def list_gateways(self, region=''):
        return self.running.roster.list_by(Role.gateway, region)

    async def send(self, gateway, body='a', method='POST'):
        """Send it and note what the caller is told."""
        path = f'/services/ledger{self.path}'
        answer = await self._exchange(method, gateway, path, body.encode())
        told = Told('none')
        if answer is not None:
            status, outcome, text = answer
            told = Told(outcome or 'answered', str(status), text.decode())
        self.told.append(told)
        return told

    async def send_everywhere(self):
        """Send it through all gateways at once, twice each."""
        for name in self.stopping:
            await self.running.processes.get(name).process.wait()
        names = [
            member.name
            for member in self.list_gateways()
            if member.name not in self.silent
        ]
        return await asyncio.gather(*map(self.send, names + names))

    async def wait_answered(self):
        """Send it with new keys until the owner has run it.

        What the owner was about to do when it was paused comes before. A key
        that names a witness which has ended is not run.
        """

        async def is_answered():
            await self.take_key()
            return (await self.send(OWNER)).outcome == 'answered'

        await wait_until(is_answered)

    async def ask(self, gateway, method):
        """Ask what became of the key, by GET, or close it, by DELETE."""
        path = f'/v1/keys/{self.key}'
        answer = await self._exchange(method, gateway, path, b'')
        if answer is None or answer[0] != 200:
            return None
        return msgspec.json.decode(answer[2])['kind']

    async def list_runs(self):
        """Return the bodies that backend servers ran for it."""
        ledgers = self.running.roster.list_by(Role.application)
        journals = [
            await self.running.backends.read_runs(ledger) for ledger in ledgers
        ]
        return [
            run.body
            for journal in journals
            for run in journal
            if run.path == self.path
        ]

    async def has_run(self):
        return bool(await self.list_runs())

    async def restart(self, role):
        """Kill a gateway, start it again and wait until it serves."""
        await self._do_kill(role)
        await self.running.processes.restart(self.names[role])
        await self.running.wait_ready()

    async def fail(self, failure):
        """Bring ``failure`` about: verbs, each with what it is done to."""
        for part in failure.split(' + '):
            verb, _, rest = part.partition(' ')
            await getattr(self, f'_do_{verb}')(rest)

    async def heal(self):
        """Take every fault away and start what was killed."""
        await self.running.links.heal()
        await self._do_store('healthy')
        await self._set_ledgers(ApplicationFaults())
        for name in self.silent:
            child = self.running.processes.get(name)
            child.thaw()
            if child.process.returncode is not None:
                await self.running.processes.restart(name)
        await self.running.wait_ready()

    async def _take_witnessed_key(self):
        answer = await self._exchange('POST', OWNER, '/v1/keys', b'{"count":1}')
        batch = msgspec.json.decode(answer[2]) if answer else {}
        if not batch.get('witnessed'):
            return False
        self._headers['Baobabhinge-Key'] = batch['keys'][0]
        return True

    async def _exchange(self, method, gateway, path, body):
        address = self.running.roster.get(gateway).caller_address
        try:
            async with self._http.request(
                method,
                f'http://{address}{path}',
                data=body,
                headers=self._headers,
                timeout=LIMIT,
            ) as answer:
                outcome = answer.headers.get('Baobabhinge-Outcome', '')
                return answer.status, outcome, await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return None

    async def _do_no(self, _):
        """No failure."""

    async def _do_kill(self, roles):
        for role in roles.split(' and '):
            self.silent.add(self.names[role])
            await self.running.processes.get(self.names[role]).kill()

    async def _do_freeze(self, roles):
        for role in roles.split(' and '):
            self.running.processes.get(self.names[role]).freeze()
            self.silent.add(self.names[role])

    async def _do_stop(self, role):
        self.silent.add(self.names[role])
        self.stopping.add(self.names[role])
        self.running.processes.get(self.names[role]).terminate()

    async def _do_cut(self, ends):
        await self._set_link(ends, CUT)

    async def _do_mute(self, ends):
        await self._set_link(ends, LOST_REPLIES)

    async def _set_link(self, ends, fault):
        source, destination = ends.split(' to ')
        link = name_link(self.names[source], self.names[destination])
        await self.running.links.set_fault(fault, link)

    async def _do_isolate(self, region):
        await self.running.links.cut_region(region)

    async def _do_refuse(self, ledger):
        names = self.running.links.book.find_touching(ledger)
        await self.running.links.set_fault(REFUSED, *names)
        await self.running.links.reset(*names)

    async def _do_store(self, state):
        faults = {
            'healthy': StoreFaults(),
            'down': StoreFaults(down=True),
            'losing': StoreFaults(lose_answers=1),
        }
        await self.running.platform.store.send('PUT', '-/faults', faults[state])

    async def _do_hold(self, _):
        """Let calls run until ``slow`` says for how long they go on."""
        await self._set_ledgers(ApplicationFaults(holds=True))

    async def _do_slow(self, seconds):
        await self._set_ledgers(ApplicationFaults(slow_seconds=float(seconds)))

    async def _do_reply(self, _):
        await self._set_ledgers(ApplicationFaults(cut_after_effect=1))

    async def _set_ledgers(self, faults):
        for ledger in self.running.roster.list_by(Role.application):
            await self.running.backends.set_faults(ledger, faults)
