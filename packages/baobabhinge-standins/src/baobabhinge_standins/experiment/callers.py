"""Callers that send drawn arrivals and time the answers."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from datetime import timedelta
from http import HTTPStatus

import aiohttp
import msgspec

from baobabhinge_coordination.clock import Clock, SystemClock
from baobabhinge_standins.experiment.arrivals import Arrival
from baobabhinge_standins.fleet import Deployment, Role

EVENT_PREFIX = b'data: {'
TERMINAL_EVENT = b'data: [DONE]'
PATH = '/v1/chat/completions'
SECOND = timedelta(seconds=1)


class Outcome(msgspec.Struct):
    """What became of one request.

    Parameters
    ----------
    arrival : Arrival
        The request.
    status : int
        HTTP status; 0 if the connection broke.
    request_id : str
        Identifier that the gateway gave it.
    instants : list of timedelta
        When each token came, from the intended start.
    is_whole : bool
        Whether the terminal event came.
    attempts : int
        Times that the caller sent it.
    """

    arrival: Arrival
    status: int = 0
    request_id: str = ''
    instants: list[timedelta] = []
    is_whole: bool = False
    attempts: int = 0


class Callers:
    """Callers of one deployment.

    Parameters
    ----------
    running : Deployment
        Where the requests go.
    http : aiohttp.ClientSession
        Session that the owner closes.
    clock : Clock
        Clock of the latencies.
    """

    __slots__ = ('_clock', '_http', '_running', '_started')

    def __init__(
        self,
        running: Deployment,
        http: aiohttp.ClientSession,
        clock: Clock,
    ) -> None:
        """Send nothing yet."""
        self._running = running
        self._http = http
        self._clock = clock
        self._started = timedelta()

    async def send_all(self, arrivals: Sequence[Arrival]) -> list[Outcome]:
        """Send each arrival at its instant and return every outcome."""
        self._started = self._clock.read_monotonic()
        tasks = []
        for arrival in arrivals:
            rest = arrival.instant - self._read_elapsed()
            await asyncio.sleep(rest.total_seconds())
            tasks.append(asyncio.create_task(self._send(arrival)))
        return await asyncio.gather(*tasks)

    async def _send(self, arrival: Arrival) -> Outcome:
        outcome = Outcome(arrival)
        pause = await self._exchange(outcome)
        if pause is not None and arrival.stream.is_retrying:
            await asyncio.sleep(pause.total_seconds())
            await self._exchange(outcome)
        return outcome

    async def _exchange(self, outcome: Outcome) -> timedelta | None:
        arrival = outcome.arrival
        outcome.attempts += 1
        with suppress(aiohttp.ClientError, TimeoutError):
            async with self._http.post(
                self._choose_url(arrival),
                data=arrival.body,
                headers={'Baobabhinge-Workspace': arrival.stream.workspace},
            ) as answer:
                _note(outcome, answer)
                if answer.status != HTTPStatus.OK:
                    return SECOND * int(answer.headers.get('Retry-After', '1'))
                await self._read_events(answer, outcome)
        return None

    async def _read_events(
        self,
        answer: aiohttp.ClientResponse,
        outcome: Outcome,
    ) -> None:
        intended = outcome.arrival.instant
        async for line in answer.content:
            if line.startswith(EVENT_PREFIX):
                outcome.instants.append(self._read_elapsed() - intended)
            elif line.startswith(TERMINAL_EVENT):
                outcome.is_whole = True

    def _choose_url(self, arrival: Arrival) -> str:
        region = arrival.stream.region
        gateways = self._running.roster.list_by(Role.gateway, region)
        gateway = gateways[arrival.gateway % len(gateways)]
        return f'http://{gateway.caller_address}{PATH}'

    def _read_elapsed(self) -> timedelta:
        return self._clock.read_monotonic() - self._started


@asynccontextmanager
async def open_callers(running: Deployment) -> AsyncIterator[Callers]:
    """Yield callers with their own connections."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        yield Callers(running, http, SystemClock())


def _note(outcome: Outcome, answer: aiohttp.ClientResponse) -> None:
    outcome.status = answer.status
    outcome.request_id = answer.headers.get('X-Request-Id', '')
