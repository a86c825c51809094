"""Stand-in of a backend server of the platform."""

import asyncio
import enum
import sys
from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict

from baobabhinge_standins.host.arrivals import HEALTH, Arrival
from baobabhinge_standins.host.crashes import ServerCrash
from baobabhinge_standins.host.long_answers import read_long_length, send_long
from baobabhinge_standins.host.notices import ServerNotice
from baobabhinge_standins.host.taking_up import compose_event as compose_event
from baobabhinge_standins.host.unframed import reset_connection, send_unframed

EVENTS = 4
EVENT_PAUSE_SECONDS = 0.02
BREAKS_AFTER = 2
SEAL = 'Baobabhinge-Response-Seal'
ATTEMPT = 'Baobabhinge-Attempt-Id'
LAST_EVENT = 'Last-Event-Id'
PROMPT = 'Baobabhinge-Prompt-Prefix'


class ServerFault(enum.Enum):
    """How the server fails the calls that it gets."""

    none = 'none'
    sheds = 'sheds'
    fails = 'fails'
    loses_answer = 'loses answer'
    answers_other = 'answers another request'
    resets_unframed = 'resets an answer without a length'
    closes_unframed = 'ends a whole answer with its connection'
    closes_within_event = 'ends a stream within an event'
    breaks_stream = 'breaks a stream within an event'
    hangs = 'hangs'
    streams_slowly = 'makes long pauses between events'
    trickles = 'sends single bytes of an event, without its end'
    floods = 'sends events without end'


# Seconds before each event, or byte.
EVENT_PAUSES = {
    ServerFault.streams_slowly: 0.45,
    ServerFault.trickles: 0.1,
    ServerFault.floods: 0,
}
UNFRAMED_FAULTS = frozenset(
    (
        ServerFault.resets_unframed,
        ServerFault.closes_unframed,
        ServerFault.closes_within_event,
    )
)


class HostServer:
    """Backend server that tells what reached it.

    Attributes
    ----------
    name, address : str
        Its identity, and where it is.
    fault : ServerFault
        How it fails now.
    notice : ServerNotice
        What its answers say of it.
    crash : ServerCrash
        Requests under which it ends.
    arrivals : list of Arrival
        Requests in order, health checks included.
    """

    def __init__(
        self, name: str, service: str, zone: str, software: str = 'v1'
    ) -> None:
        """Fail at nothing."""
        self.name = name
        self._software = software
        self._service = service
        self._zone = zone
        self.address = ''
        self.fault = ServerFault.none
        self.notice = ServerNotice()
        self.crash = ServerCrash()
        self.arrivals: list[Arrival] = []

    def describe(self, **changed: object) -> dict[str, object]:
        """Return its entry in the list."""
        return {
            'service': self._service,
            'address': self.address,
            'zone': self._zone,
            'version': self._software,
            'slots': 6,
            'state': 'ready',
            'cold-left-ms': 0,
            'seq': 1,
            **changed,
        }

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get(HEALTH, self._answer_health)
        app.router.add_route('*', '/{path:.*}', self._answer)
        return app

    async def _answer_health(self, request: web.Request) -> web.Response:
        self.arrivals.append(Arrival('', request.path, {}, b''))
        told = self.notice.describe_health()
        status = (
            HTTPStatus.SERVICE_UNAVAILABLE
            if self.notice.health_pauses
            else HTTPStatus.OK
        )
        headers = CIMultiDict([('Baobabhinge-Instance-Id', self.name), *told])
        return web.Response(status=status, headers=headers)

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        arrival = Arrival(
            request.headers.get(ATTEMPT, ''),
            request.raw_path,
            dict(request.headers),
            await request.read(),
        )
        self.arrivals.append(arrival)
        if request.headers.get('Baobabhinge-Expect-Instance') != self.name:
            return web.Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        if (
            self.fault is ServerFault.sheds
            or not self.notice.brittleness.try_begin()
        ):
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers=CIMultiDict(
                    [
                        ('Baobabhinge-Not-Executed', '1'),
                        *self.notice.describe_refusal(),
                    ]
                ),
            )
        arrival.has_run = True
        try:
            return await self._run(request, arrival)
        except (asyncio.CancelledError, ConnectionError):
            arrival.left = asyncio.get_running_loop().time()
            raise
        finally:
            self.notice.brittleness.end()

    async def _run(
        self,
        request: web.Request,
        arrival: Arrival,
    ) -> web.StreamResponse:
        sealed = CIMultiDict(
            [
                (ATTEMPT, arrival.attempt),
                (SEAL, f'seal.{arrival.attempt}'),
                *self.notice.describe_answer(),
            ]
        )
        await self.crash.check(request.path)
        await asyncio.sleep(self.notice.brittleness.work_seconds)
        if self.fault is ServerFault.answers_other:
            sealed[ATTEMPT] = 'another'
        if self.fault is ServerFault.fails:
            return web.Response(status=500, headers=sealed, body=b'failed')
        if self.fault is ServerFault.hangs:
            await asyncio.sleep(EVENTS)
        if self.fault is ServerFault.loses_answer:
            reset_connection(request)
        if self.fault in UNFRAMED_FAULTS:
            await send_unframed(
                request,
                sealed,
                _compose_unframed(request.path, self.fault),
                is_reset=self.fault is ServerFault.resets_unframed,
            )
        self.crash.check_prompt(request.headers.get(PROMPT, ''))
        last_event = request.headers.get(LAST_EVENT)
        if self.notice.take_up.answers_otherwise(last_event):
            return self.notice.take_up.compose_answer(sealed)
        length = read_long_length(request.path)
        if length or 'stream' in request.path:
            sending = (
                send_long(request, sealed, length)
                if length
                else self._stream(request, arrival, sealed)
            )
            return await sending
        body = f'{self.name} answers {arrival.attempt}'.encode()
        return web.Response(headers=sealed, body=body)

    async def _stream(
        self,
        request: web.Request,
        arrival: Arrival,
        sealed: CIMultiDict[str],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=sealed)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        first = self.notice.take_up.choose_first(
            request.headers.get(LAST_EVENT)
        )
        last = sys.maxsize if self.fault is ServerFault.floods else EVENTS
        for number in range(first, last + 1):
            await wait_for_event(self, response)
            event = self.notice.take_up.compose_event(number)
            if (
                self.fault is ServerFault.breaks_stream
                and number > BREAKS_AFTER
                and self.notice.take_up.may_break(
                    request.headers.get(LAST_EVENT)
                )
            ):
                await response.write(event[:7])
                await asyncio.sleep(EVENT_PAUSE_SECONDS)
                reset_connection(request)
            await response.write(event)
        return response


async def wait_for_event(
    server: HostServer, response: web.StreamResponse
) -> None:
    """Wait until a server sends its next event, or sends bytes of none."""
    pause = EVENT_PAUSES.get(server.fault, EVENT_PAUSE_SECONDS)
    await asyncio.sleep(pause)
    while server.fault is ServerFault.trickles:
        await response.write(b':')
        await asyncio.sleep(pause)


def _compose_unframed(path: str, fault: ServerFault) -> bytes:
    if 'stream' not in path:
        return b'unframed'
    events = b''.join(map(compose_event, range(1, EVENTS + 1)))
    is_cut = fault is ServerFault.closes_within_event
    return events[:-1] if is_cut else events
