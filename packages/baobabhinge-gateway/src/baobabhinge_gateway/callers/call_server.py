"""Server of calls: from the arrival of a call to its answer."""

from contextlib import suppress

import structlog
from aiohttp import web

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.callers.request_checks import RequestChecks
from baobabhinge_gateway.calls import Call, Hop
from baobabhinge_gateway.calls.arrivals import record_arrival
from baobabhinge_gateway.calls.call_builders import (
    CallBuilder,
    build_model_call,
    build_plain_call,
)
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.errors import (
    AnswerCutError,
    CallerLostError,
    CallError,
)
from baobabhinge_gateway.execution import OUTCOME_KNOWN, Executors
from baobabhinge_gateway.telemetry import CallStatistics

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
START_TIME_KEY = 'started'
SERVICE_KEY = 'service'
EVENT_STREAM = 'text/event-stream'

log = structlog.get_logger(__name__)


class CallServer:
    """Serve calls from callers and from other gateways.

    Parameters
    ----------
    hop : Hop
        This gateway.
    clock : Clock
        Clock of the deadlines and of the measured latencies.
    active : ActiveConfiguration
        Configuration in force.
    executors : Executors
        Executors by kind of call.
    checks : RequestChecks
        Checks of a request before its body is read.

    Attributes
    ----------
    counters : CallCounters
        Quotas, workspace shares and routing decisions.
    measures : CallStatistics
        Outcomes and latencies of the calls.
    """

    __slots__ = (
        '_active',
        '_checks',
        '_clock',
        '_executors',
        '_hop',
        'counters',
        'measures',
    )

    def __init__(
        self,
        hop: Hop,
        clock: Clock,
        active: ActiveConfiguration,
        executors: Executors,
        checks: RequestChecks,
    ) -> None:
        """Start with empty measures."""
        self._hop = hop
        self._clock = clock
        self._active = active
        self._executors = executors
        self._checks = checks
        self.counters = executors.counters
        self.measures = CallStatistics()

    async def serve_model(self, request: web.Request) -> web.StreamResponse:
        """Serve a completion request."""
        return await self._serve(request, build_model_call)

    async def serve_plain(self, request: web.Request) -> web.StreamResponse:
        """Serve a request to a plain service."""
        return await self._serve(request, build_plain_call)

    async def send_continue(self, request: web.Request) -> None:
        """Send ``100 Continue`` unless the request will be refused.

        The refusal itself is sent when the request is handled.
        """
        with suppress(CallError):
            self._checks.check(request)
            await request.writer.write(CONTINUE)

    async def record_first_token(
        self,
        request: web.Request,
        response: web.StreamResponse,
    ) -> None:
        """Record the time to the first token of a streamed answer.

        The response of a stream is prepared when its first token arrives.
        """
        if SERVICE_KEY not in request or response.content_type != EVENT_STREAM:
            return
        elapsed = self._clock.read_monotonic() - request[START_TIME_KEY]
        self.measures.record_latency(
            'first-token', request[SERVICE_KEY], elapsed
        )

    async def _serve(
        self,
        request: web.Request,
        build: CallBuilder,
    ) -> web.StreamResponse:
        started = self._clock.read_monotonic()
        request[START_TIME_KEY] = started
        arrival = record_arrival(request, self._hop, started)
        self._checks.check(request)
        built = await build(request, self._active.require_settings(), arrival)
        call = self._checks.region_guard.restrict(built)
        request[SERVICE_KEY] = call.service.name
        response = await self._execute(request, call)
        self.measures.record_latency(
            'answer',
            call.service.name,
            self._clock.read_monotonic() - started,
        )
        return response

    async def _execute(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        request[OUTCOME_KNOWN] = not call.is_run_once
        try:
            response = await self._executors.select(call).execute(request, call)
        except (AnswerCutError, CallerLostError) as incomplete:
            self.measures.outcomes['not-whole'] += 1
            kind = type(incomplete).__name__
            log.warning('not-whole', kind=kind, request_id=call.request_id)
            return web.Response()
        except CallError as refusal:
            self.measures.outcomes[refusal.outcome] += 1
            raise
        self.measures.outcomes['answered'] += 1
        return response
