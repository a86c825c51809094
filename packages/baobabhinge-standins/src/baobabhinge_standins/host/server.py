"""Stand-in of a backend server of the platform."""

import asyncio
import enum
import socket
import struct
from http import HTTPStatus

import msgspec
from aiohttp import web

from baobabhinge_standins.host.crashes import ServerCrash
from baobabhinge_standins.host.notices import ServerNotice

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
    breaks_stream = 'breaks a stream within an event'
    hangs = 'hangs'


class Arrival(msgspec.Struct):
    """One request that reached the server.

    Parameters
    ----------
    has_left : bool
        Whether the other side closed before the answer was whole.
    """

    attempt: str
    target: str
    headers: dict[str, str]
    body: bytes
    has_run: bool = False
    has_left: bool = False


HEALTH = '/health'


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

    def __init__(self, name: str, service: str, zone: str) -> None:
        """Fail at nothing."""
        self.name = name
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
            'version': 'v1',
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
        headers = {
            'Baobabhinge-Instance-Id': self.name,
            **self.notice.describe_health(),
        }
        return web.Response(headers=headers)

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
        if self.fault is ServerFault.sheds:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers={
                    'Baobabhinge-Not-Executed': '1',
                    **self.notice.describe_answer(),
                },
            )
        arrival.has_run = True
        try:
            return await self._run(request, arrival)
        except (asyncio.CancelledError, ConnectionError):
            arrival.has_left = True
            raise

    async def _run(
        self,
        request: web.Request,
        arrival: Arrival,
    ) -> web.StreamResponse:
        sealed = {
            ATTEMPT: arrival.attempt,
            SEAL: f'seal.{arrival.attempt}',
            **self.notice.describe_answer(),
        }
        self.crash.check(request.path)
        if self.fault is ServerFault.answers_other:
            sealed[ATTEMPT] = 'another'
        if self.fault is ServerFault.fails:
            return web.Response(status=500, headers=sealed, body=b'failed')
        if self.fault is ServerFault.hangs:
            await asyncio.sleep(EVENTS)
        if self.fault is ServerFault.loses_answer:
            _abort(request)
        if self.fault is ServerFault.resets_unframed:
            await _reset_unframed(request, sealed)
        self.crash.check_prompt(request.headers.get(PROMPT, ''))
        if 'stream' in request.path:
            return await self._stream(request, arrival, sealed)
        body = f'{self.name} answers {arrival.attempt}'.encode()
        return web.Response(headers=sealed, body=body)

    async def _stream(
        self,
        request: web.Request,
        arrival: Arrival,
        sealed: dict[str, str],
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=sealed)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        first = int(request.headers.get(LAST_EVENT, 0)) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_SECONDS)
            event = f'id: {number}\ndata: piece {number}\n\n'.encode()
            if (
                self.fault is ServerFault.breaks_stream
                and number > BREAKS_AFTER
            ):
                await response.write(event[:7])
                await asyncio.sleep(EVENT_PAUSE_SECONDS)
                _abort(request)
            await response.write(event)
        return response


# Closing with this option sends a reset in place of a regular end.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        opened = request.transport.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        request.transport.abort()
    raise ConnectionResetError


async def _reset_unframed(
    request: web.Request,
    sealed: dict[str, str],
) -> None:
    transport = request.transport
    lines = [f'{name}: {text}' for name, text in sealed.items()]
    head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, 'Connection: close'))
    if transport is not None and isinstance(transport, asyncio.Transport):
        transport.write(f'{head}\r\n\r\npart'.encode())
        await asyncio.sleep(EVENT_PAUSE_SECONDS)
    _abort(request)


def list_runs(server: HostServer) -> list[Arrival]:
    """Return the requests that ``server`` ran."""
    return [arrival for arrival in server.arrivals if arrival.has_run]


def count_checks(server: HostServer) -> int:
    """Return how often the health of ``server`` was checked."""
    return sum(arrival.target == HEALTH for arrival in server.arrivals)
