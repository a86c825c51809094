"""Playing a script against a deployment, open loop."""

import asyncio
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.demo.desks import Desks
from baobabhinge_standins.output import show_line
from baobabhinge_standins.traffic import Records, Request, Script, Verdict
from baobabhinge_standins.traffic.calling import send

PROGRESS_INTERVAL = timedelta(seconds=2)


class Player:
    """Send the requests of a script in turn at a steady rate.

    Parameters
    ----------
    desks : Desks
        Callers of each region.
    clock : Clock
        Clock of the rate.

    Attributes
    ----------
    records : Records
        What became of the requests.
    """

    __slots__ = ('_clock', '_desks', 'records')

    def __init__(self, desks: Desks, clock: Clock) -> None:
        """Send nothing yet."""
        self._desks = desks
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
        client = self._desks.choose(request.region, number)
        self.records.add(await send(client, request, self._clock))


def _describe(records: Records) -> str:
    sent = records.sent
    ended = len(records.samples)
    answered = records.outcomes[Verdict.answered]
    return f'{sent} sent, {ended} ended, {answered} answered whole'
