"""Faults of the key-value service that a test switches on."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.keyvalue.calls import (
    READS,
    CallCounts,
    CallKind,
    RateLimit,
    classify,
)

FAULTS_PATH = '/-/faults'
CALLS_PATH = '/-/calls'
PROTOCOL_PREFIX = '/v1/'
WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000

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
        Number of writes to come whose connection is cut after their effect.
    lose_key : str
        Part of the keys of these writes; empty for any key.
    down_after_loss : bool
        Whether the service is down once such an answer was lost.
    writes_per_second, reads_per_second : int
        Rates above which calls are answered with status 429; sessions count
        as writes and watches as reads.
    """

    down: bool = False
    slow_seconds: float = 0
    lose_answers: int = 0
    lose_key: str = ''
    down_after_loss: bool = False
    writes_per_second: int = WRITES_PER_SECOND
    reads_per_second: int = READS_PER_SECOND

    def loses(self, path: str) -> bool:
        """Tell whether the answer of a write to ``path`` is lost."""
        return self.lose_answers > 0 and self.lose_key in path


class FaultSwitch:
    """Count calls, limit their rates and bring the present faults about.

    Parameters
    ----------
    clock : Clock
        Clock of the rates.
    """

    __slots__ = ('_counts', '_faults', '_reads', '_writes')

    def __init__(self, clock: Clock) -> None:
        """Start without faults."""
        self._counts = CallCounts()
        self._faults = StoreFaults()
        self._reads = RateLimit(clock, READS_PER_SECOND)
        self._writes = RateLimit(clock, WRITES_PER_SECOND)

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
        kind = classify(request)
        self._count(kind)
        await asyncio.sleep(self._faults.slow_seconds)
        if self._faults.down:
            raise web.HTTPInternalServerError
        response = await answer(request)
        if kind is CallKind.write and self._faults.loses(request.path):
            self._faults.lose_answers -= 1
            self._faults.down = self._faults.down_after_loss
            _cut(request)
        return response

    def _count(self, kind: CallKind) -> None:
        counted = getattr(self._counts, kind)
        setattr(self._counts, kind, counted + 1)
        limit = self._reads if kind in READS else self._writes
        if not limit.admit():
            self._counts.limited += 1
            raise web.HTTPTooManyRequests

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self._faults = msgspec.json.decode(body, type=StoreFaults)
        self._writes.per_second = self._faults.writes_per_second
        self._reads.per_second = self._faults.reads_per_second
        return web.Response()

    async def _report_calls(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self._counts),
            content_type='application/json',
        )


def _cut(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
