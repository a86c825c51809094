"""Weights by model and version, at a limited rate."""

import math
from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_coordination.clock import Clock

ONE_SECOND = timedelta(seconds=1)
DEFAULT_BYTES = 4_194_304
DEFAULT_RATE = 8_388_608


class WeightFaults(msgspec.Struct, frozen=True):
    """Present faults.

    Parameters
    ----------
    down : bool
        Every read is answered with status 500.
    bytes_per_second : int
        Rate above which reads are answered with status 429.
    """

    down: bool = False
    bytes_per_second: int = DEFAULT_RATE


class WeightApp:
    """Serve ranges of weights that consist of zeros.

    Parameters
    ----------
    clock : Clock
        Clock of the rate.
    size : int
        Size of the weights of each model and version, in bytes.
    """

    __slots__ = ('_clock', '_counts', '_faults', '_free_at', '_size')

    def __init__(self, clock: Clock, size: int = DEFAULT_BYTES) -> None:
        """Start with the whole rate free."""
        self._clock = clock
        self._size = size
        self._faults = WeightFaults()
        self._free_at = clock.read_monotonic()
        self._counts = {'served': 0, 'limited': 0, 'bytes': 0}

    def build(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get('/weights/{model}/{version:.*}', self._read)
        app.router.add_put('/-/faults', self._set_faults)
        app.router.add_get('/-/calls', self._report_calls)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        if self._faults.down:
            raise web.HTTPInternalServerError
        asked = request.http_range
        start = asked.start or 0
        stop = min(asked.stop or self._size, self._size)
        if start >= self._size:
            raise web.HTTPRequestRangeNotSatisfiable
        self._charge(stop - start)
        last = stop - 1
        return web.Response(
            status=web.HTTPPartialContent.status_code,
            body=bytes(stop - start),
            headers={'Content-Range': f'bytes {start}-{last}/{self._size}'},
        )

    def _charge(self, size: int) -> None:
        now = self._clock.read_monotonic()
        wait = self._free_at - now
        if wait > ONE_SECOND:
            self._counts['limited'] += 1
            seconds = math.ceil((wait - ONE_SECOND).total_seconds())
            raise web.HTTPTooManyRequests(
                headers={'Retry-After': str(seconds)},
            )
        cost = timedelta(seconds=size / self._faults.bytes_per_second)
        self._free_at = max(now, self._free_at) + cost
        self._counts['served'] += 1
        self._counts['bytes'] += size

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self._faults = msgspec.json.decode(body, type=WeightFaults)
        return web.Response()

    async def _report_calls(self, request: web.Request) -> web.Response:
        return web.json_response(self._counts)
