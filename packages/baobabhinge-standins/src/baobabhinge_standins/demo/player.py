"""Playing a script against a deployment, open loop."""

import asyncio
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.fleet import Deployment
from baobabhinge_standins.output import show_line
from baobabhinge_standins.traffic import Records, Script, Verdict, judge
from baobabhinge_standins.traffic.exchange import Sender, Timed
from baobabhinge_standins.traffic.keys import NO_KEY, KeyRing
from baobabhinge_standins.traffic.records import Sample
from baobabhinge_standins.traffic.requests import Request

PROGRESS_INTERVAL = timedelta(seconds=2)


class Player:
    """Send the requests of a script in turn at a steady rate.

    Parameters
    ----------
    deployment : Deployment
        Where the requests go.
    sender : Sender
        What sends them.
    keys : KeyRing
        Keys of calls that may not be repeated.
    clock : Clock
        Clock of the rate.

    Attributes
    ----------
    records : Records
        What became of the requests.
    """

    __slots__ = ('_clock', '_deployment', '_keys', '_sender', 'records')

    def __init__(
        self,
        deployment: Deployment,
        sender: Sender,
        keys: KeyRing,
        clock: Clock,
    ) -> None:
        """Send nothing yet."""
        self._deployment = deployment
        self._sender = sender
        self._keys = keys
        self._clock = clock
        self.records = Records()

    async def play(
        self,
        script: Script,
        interval: timedelta,
        span: timedelta,
    ) -> None:
        """Send a request each ``interval`` until ``span`` has passed."""
        started = self._clock.read_monotonic()
        async with asyncio.TaskGroup() as tasks:
            while self._clock.read_monotonic() - started < span:
                request = script.build(self.records.sent)
                tasks.create_task(self._send(request, self.records.sent))
                self.records.sent += 1
                due = started + interval * self.records.sent
                rest = due - self._clock.read_monotonic()
                await asyncio.sleep(max(0, rest.total_seconds()))

    async def show_progress(self) -> None:
        """Show a line now and then until cancelled."""
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL.total_seconds())
            show_line(_describe(self.records))

    async def _send(self, request: Request, number: int) -> None:
        address = self._deployment.choose_entry(request.region, number)
        key = NO_KEY
        if request.is_run_once:
            key = await self._keys.take(request.region, address)
        timed = await self._sender.send(request, address, key)
        self.records.add(_build_sample(request, timed))


def _describe(records: Records) -> str:
    sent = records.sent
    ended = len(records.samples)
    answered = records.outcomes[Verdict.answered]
    return f'{sent} sent, {ended} ended, {answered} answered whole'


def _build_sample(request: Request, timed: Timed) -> Sample:
    verdict = judge(request, timed.reply)
    if timed.is_refused:
        verdict = Verdict.not_run
    return Sample(
        request,
        verdict,
        timed.reply.request_id,
        timed.first,
        timed.whole,
    )
