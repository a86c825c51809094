"""Pausing gateways at the steps of a call that may not be repeated."""

import asyncio

import aiohttp
import msgspec

from baobabhinge_coordination.runonce import (
    AskOutcome,
    OutcomeReason,
    RunOnceOutcome,
    decode_key,
)
from baobabhinge_gateway.runonce.peer_client import PATH_PREFIX, Question
from baobabhinge_standins.fleet import name_link, wait_until

# Longer than what heartbeats send meanwhile.
BODY = 'a' * 20_000


class Pausing:
    """One confirmation that is sent, and paused on its way."""

    def __init__(self, confirmation):
        self._confirmation = confirmation
        self._sending = None

    async def pause(self, paused, step):
        """Send it through the entry and pause a gateway at a step."""
        prepare, reach = STEPS[step]
        for failure in prepare:
            await self._confirmation.fail(failure.format(paused=paused))
        entry = self._confirmation.names['entry']
        before = await self._count_forwarded()
        sending = self._confirmation.send(entry, BODY)
        self._sending = asyncio.create_task(sending)
        if reach is not None:
            await wait_until(lambda: reach(self, before))
            await self._confirmation.fail(f'freeze {paused}')
        if step.endswith('which is killed'):
            await self._confirmation.fail('kill owner')
        if 'hold' in prepare:
            await self._confirmation.fail('slow 1')

    async def conclude(self):
        """Return what the first caller was told."""
        return await self._sending

    async def is_intended(self, _):
        """Tell whether the witness has recorded the intent."""
        confirmation = self._confirmation
        witness = confirmation.running.roster.get(confirmation.names['witness'])
        order = AskOutcome(decode_key(confirmation.key))
        async with (
            aiohttp.ClientSession() as http,
            http.post(
                f'http://{witness.address}{PATH_PREFIX}/'
                f'{Question.witness_look_up}',
                data=msgspec.json.encode(order),
            ) as answer,
        ):
            told = msgspec.json.decode(await answer.read(), type=RunOnceOutcome)
        return told.reason is OutcomeReason.in_doubt

    async def is_running(self, _):
        """Tell whether a backend server runs it."""
        return await self._confirmation.has_run()

    async def is_forwarded(self, before):
        """Tell whether the bytes of the call have reached the owner."""
        return await self._count_forwarded() > before + len(BODY)

    async def _count_forwarded(self):
        names = self._confirmation.names
        link = name_link(names['entry'], names['owner'])
        traffic = await self._confirmation.running.links.read_traffic()
        return sum(one.forward_bytes for one in traffic if one.name == link)


STEPS = {
    'before it reads the intent': (['freeze {paused}'], None),
    'after it recorded the intent': (
        ['mute owner to witness'],
        Pausing.is_intended,
    ),
    'while the owner runs it': (['hold'], Pausing.is_running),
    'while the owner runs it, which is killed': (
        ['hold'],
        Pausing.is_running,
    ),
    'before it reads the call': (['freeze {paused}'], None),
    'after it passed it on to a paused owner': (
        ['freeze owner'],
        Pausing.is_forwarded,
    ),
}
