"""Faults of the key-value service that a test switches on."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

FAULTS_PATH = '/-/faults'
CALLS_PATH = '/-/calls'
PROTOCOL_PREFIX = '/v1/'
WRITES = frozenset(('PUT', 'DELETE'))

Answerer = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoreFaults(msgspec.Struct):
    """Present faults.

    Parameters
    ----------
    down : bool
        Every call is answered with status 500 and has no effect.
    slow_seconds : float
        Wait before each call, in seconds.
    lose_answers : int
        Number of writes to come whose answer is lost after their effect.
    """

    down: bool = False
    slow_seconds: float = 0
    lose_answers: int = 0


class FaultSwitch:
    """Count calls and bring the present faults about."""

    __slots__ = ('_calls', '_faults')

    def __init__(self) -> None:
        """Start without faults."""
        self._calls: Counter[str] = Counter()
        self._faults = StoreFaults()

    def add_routes(self, app: web.Application) -> None:
        """Add the paths that set faults and report calls."""
        app.router.add_put(FAULTS_PATH, self._set_faults)
        app.router.add_get(CALLS_PATH, self._report_calls)

    def build_middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        """Return the middleware that applies the faults."""

        @web.middleware
        async def apply_faults(
            request: web.Request,
            handler: Answerer,
        ) -> web.StreamResponse:
            if request.path.startswith(PROTOCOL_PREFIX):
                return await self._apply(request, handler)
            return await handler(request)

        return apply_faults

    async def _apply(
        self,
        request: web.Request,
        answer: Answerer,
    ) -> web.StreamResponse:
        self._calls[request.method] += 1
        await asyncio.sleep(self._faults.slow_seconds)
        if self._faults.down:
            raise web.HTTPInternalServerError
        response = await answer(request)
        if request.method in WRITES and self._faults.lose_answers:
            self._faults.lose_answers -= 1
            raise web.HTTPInternalServerError
        return response

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self._faults = msgspec.json.decode(body, type=StoreFaults)
        return web.Response()

    async def _report_calls(self, request: web.Request) -> web.Response:
        return web.json_response({'GET': 0, 'PUT': 0} | self._calls)
