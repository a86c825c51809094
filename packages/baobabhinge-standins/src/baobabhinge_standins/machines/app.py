"""Both lists as documents that a launcher writes and gateways read."""

import asyncio
from datetime import timedelta
from http import HTTPStatus
from itertools import takewhile

import msgspec
import xxhash
from aiohttp import web

from baobabhinge_coordination.clock import Clock

JSON = 'application/json'
FAULTS_PATH = '/-/faults'


class ListFaults(msgspec.Struct, frozen=True):
    """Present faults.

    Parameters
    ----------
    down : bool
        Every read is answered with status 500.
    slow_seconds : float
        Wait before each read, in seconds.
    lag_seconds : float
        Time until a written document is read, in seconds; its first version
        is read at once.
    """

    down: bool = False
    slow_seconds: float = 0
    lag_seconds: float = 0


class _Version(msgspec.Struct, frozen=True):
    instant: timedelta
    body: bytes


class DocumentApp:
    """Documents by path; a PUT replaces one, a GET returns it.

    Parameters
    ----------
    clock : Clock
        Clock of the lag.
    """

    __slots__ = ('_clock', '_documents', '_faults')

    def __init__(self, clock: Clock) -> None:
        """Start without documents."""
        self._clock = clock
        self._documents: dict[str, list[_Version]] = {}
        self._faults = ListFaults()

    def build(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_put(FAULTS_PATH, self._set_faults)
        app.router.add_get('/{path:.+}', self._read)
        app.router.add_put('/{path:.+}', self._write)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self._faults.slow_seconds)
        if self._faults.down:
            raise web.HTTPInternalServerError
        versions = self._documents.get(request.path)
        if versions is None:
            raise web.HTTPNotFound
        return _answer(request, self._choose(versions))

    async def _write(self, request: web.Request) -> web.Response:
        version = _Version(self._clock.read_monotonic(), await request.read())
        self._documents.setdefault(request.path, []).append(version)
        return web.Response()

    def _choose(self, versions: list[_Version]) -> bytes:
        lag = timedelta(seconds=self._faults.lag_seconds)
        latest = self._clock.read_monotonic() - lag
        due = takewhile(lambda version: version.instant <= latest, versions)
        return (list(due) or versions[:1])[-1].body

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self._faults = msgspec.json.decode(body, type=ListFaults)
        return web.Response()


def _answer(request: web.Request, body: bytes) -> web.Response:
    etag = f'"{xxhash.xxh3_64_hexdigest(body)}"'
    headers = {'ETag': etag}
    if request.headers.get('If-None-Match') == etag:
        return web.Response(status=HTTPStatus.NOT_MODIFIED, headers=headers)
    return web.Response(body=body, content_type=JSON, headers=headers)
