"""Playing requests against a deployment, open loop."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta
from http import HTTPStatus
from itertools import count, cycle

import aiohttp
import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.demo.records import Records, Verdict
from baobabhinge_standins.demo.script import ScriptLine
from baobabhinge_standins.fleet import Deployment, Role

TERMINAL_EVENT = b'data: [DONE]\n\n'


class Sample(msgspec.Struct, frozen=True):
    """What one exchange showed."""

    verdict: Verdict
    first: timedelta


class Player:
    """Send the lines of a script in turn at a steady rate.

    Parameters
    ----------
    deployment : Deployment
        Where the requests go.
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    clock : Clock
        Clock of the latencies.
    """

    __slots__ = ('_clock', '_deployment', '_http', 'records')

    def __init__(
        self,
        deployment: Deployment,
        http: aiohttp.ClientSession,
        clock: Clock,
    ) -> None:
        """Send nothing yet."""
        self._deployment = deployment
        self._http = http
        self._clock = clock
        self.records = Records()

    async def play(
        self,
        script: Sequence[ScriptLine],
        interval: timedelta,
        span: timedelta,
    ) -> None:
        """Send a request each ``interval`` until ``span`` has passed."""
        ends = self._clock.read_monotonic() + span
        numbers = count(1)
        async with asyncio.TaskGroup() as tasks:
            for line in cycle(script):
                if self._clock.read_monotonic() >= ends:
                    return
                tasks.create_task(self._send(line, next(numbers)))
                await asyncio.sleep(interval.total_seconds())

    async def _send(self, line: ScriptLine, number: int) -> None:
        started = self._clock.read_monotonic()
        try:
            sample = await self._exchange(line, self._get_url(line, number))
        except aiohttp.ClientError:
            sample = Sample(Verdict.cut, self._clock.read_monotonic())
        ended = self._clock.read_monotonic()
        self.records.add(
            sample.verdict,
            sample.first - started,
            ended - started,
        )

    async def _exchange(self, line: ScriptLine, url: str) -> Sample:
        async with self._http.request(
            line.method,
            url,
            data=bytes(line.body),
        ) as answer:
            first = self._clock.read_monotonic()
            body = await answer.read()
            return Sample(_judge(line, answer.status, body), first)

    def _get_url(self, line: ScriptLine, number: int) -> str:
        members = self._deployment.roster.list_by(Role.gateway, line.region)
        address = members[number % len(members)].caller_address
        path = line.path.replace('{n}', str(number))
        return f'http://{address}{path}'


def _judge(line: ScriptLine, status: int, body: bytes) -> Verdict:
    if status != HTTPStatus.OK:
        unknown = b'"outcome":"unknown"' in body
        return Verdict.unknown if unknown else Verdict.not_run
    if line.is_streamed and not body.endswith(TERMINAL_EVENT):
        return Verdict.cut
    return Verdict.answered
