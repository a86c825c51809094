"""Serving one call from its arrival to its answer."""

import uuid

import structlog
from aiohttp import web

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.calls import Call, Hop, HopList, headers
from baobabhinge_gateway.calls.building import (
    Arrival,
    CallBuilder,
    build_model_call,
    build_plain_call,
)
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import AnswerCutError, CallerLostError
from baobabhinge_gateway.execution import Executor, Executors
from baobabhinge_gateway.telemetry import Measures

log = structlog.get_logger(__name__)


class CallServer:
    """Serve calls from callers and from other gateways.

    Parameters
    ----------
    hop : Hop
        This gateway.
    clock : Clock
        Clock of the deadlines.
    active : ActiveConfiguration
        Configuration in force.
    executors : Executors
        Runners of calls.
    """

    __slots__ = ('_active', '_clock', '_executors', '_hop', 'measures')

    def __init__(
        self,
        hop: Hop,
        clock: Clock,
        active: ActiveConfiguration,
        executors: Executors,
    ) -> None:
        """Keep the parts."""
        self._hop = hop
        self._clock = clock
        self._active = active
        self._executors = executors
        self.measures = Measures()

    async def serve_model(self, request: web.Request) -> web.StreamResponse:
        """Serve a completion request."""
        return await self._serve(request, build_model_call)

    async def serve_plain(self, request: web.Request) -> web.StreamResponse:
        """Serve a request to a plain service."""
        return await self._serve(request, build_plain_call)

    async def _serve(
        self,
        request: web.Request,
        build: CallBuilder,
    ) -> web.StreamResponse:
        arrival = self._register(request)
        call = await build(request, self._active.require_settings(), arrival)
        executor = self._executors.select(call)
        response = await self._execute(executor, request, call)
        elapsed = self._clock.read_monotonic() - arrival.instant
        self.measures.record_latency('answer', elapsed)
        return response

    async def _execute(
        self,
        executor: Executor,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        try:
            response = await executor.execute(request, call)
        except AnswerCutError:
            return self._end_lost(request, call, 'cut')
        except CallerLostError:
            return self._end_lost(request, call, 'caller-lost')
        self.measures.outcomes['answered'] += 1
        return response

    def _end_lost(
        self,
        request: web.Request,
        call: Call,
        outcome: str,
    ) -> web.StreamResponse:
        """Return a response that the closed connection does not carry."""
        self.measures.outcomes[outcome] += 1
        log.warning('answer-not-whole', outcome=outcome, id=call.request_id)
        return web.Response()

    def _register(self, request: web.Request) -> Arrival:
        passed = HopList.parse(request.headers.get(headers.PATH, ''))
        request_id = request.headers.get(headers.REQUEST_ID)
        if request_id is None or not passed.hops:
            request_id = uuid.uuid4().hex
        request['request_id'] = request_id
        return Arrival(
            request_id,
            self._clock.read_monotonic(),
            passed.extend(self._hop),
        )
