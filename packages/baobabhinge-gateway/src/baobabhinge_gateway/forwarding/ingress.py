"""Requests of callers and of other gateways, turned into calls."""

import asyncio
from datetime import timedelta
from http import HTTPStatus
from random import Random

import msgspec
import structlog
from aiohttp import web

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import (
    ConfigurationHolder,
    RequestLimits,
    Route,
)
from baobabhinge_gateway.errors import CallError, Outcome
from baobabhinge_gateway.forwarding.call import Call, CallHead, Headers
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.hop import RUNS, VERDICT, open_envelope
from baobabhinge_gateway.forwarding.meters import CallMeters
from baobabhinge_gateway.forwarding.problems import (
    BodyTooLargeError,
    NoConfigurationError,
    NoRouteError,
)
from baobabhinge_gateway.forwarding.protocols import CallerProtocol, Verdict
from baobabhinge_gateway.forwarding.responding import HttpResponder
from baobabhinge_gateway.lifecycle import Lifecycle

LONGEST_PATIENCE = timedelta(minutes=10)
LAST_SERVER_ERROR = 600

log = structlog.get_logger(__name__)


class Reception(msgspec.Struct):
    """What a gateway needs to take calls in."""

    clock: Clock
    holder: ConfigurationHolder
    random: Random
    lifecycle: Lifecycle
    meters: CallMeters


class CallerIngress:
    """Take calls of callers.

    Parameters
    ----------
    reception : Reception
        Parts of the process.
    protocol : CallerProtocol
        How callers speak.
    dispatcher : Dispatcher
        Has the calls answered.
    """

    __slots__ = ('_dispatcher', '_protocol', '_reception')

    def __init__(
        self,
        reception: Reception,
        protocol: CallerProtocol,
        dispatcher: Dispatcher,
    ) -> None:
        """Keep the parts."""
        self._reception = reception
        self._protocol = protocol
        self._dispatcher = dispatcher

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        arrival = self._reception.clock.read_monotonic()
        is_last = self._reception.lifecycle.is_draining
        responder = HttpResponder(request, is_last=is_last)
        try:
            call = await self._read_call(request, arrival)
        except CallError as refusal:
            return await self._refuse(request, responder, refusal, None)
        self._reception.meters.open_calls += 1
        try:
            await self._dispatcher.serve(call, responder)
        except CallError as refusal:
            return await self._refuse(request, responder, refusal, call)
        except asyncio.CancelledError:
            self._note(call, 'abandoned', 'caller left')
            raise
        finally:
            self._reception.meters.open_calls -= 1
        self._note(call, 'answered', '')
        return _take_response(responder)

    async def _read_call(
        self,
        request: web.BaseRequest,
        arrival: timedelta,
    ) -> Call:
        head = self._protocol.read_head(request)
        revision = self._reception.holder.revision
        if revision is None:
            raise NoConfigurationError('no configuration is known yet')
        route = self._reception.holder.table.find(head.host, head.path)
        if route is None:
            raise NoRouteError(
                f'version {revision.version} has no route for this path',
            )
        body = await read_body(request, revision.limits)
        return Call(
            head=head,
            body=body,
            route=route,
            service=choose_service(route, self._reception.random),
            arrival=arrival,
            deadline=arrival + limit_patience(head, route),
            attempts_left=max(1, route.max_attempts),
        )

    async def _refuse(
        self,
        request: web.BaseRequest,
        responder: HttpResponder,
        refusal: CallError,
        call: Call | None,
    ) -> web.StreamResponse:
        self._note(call, refusal.code, refusal.detail)
        if responder.has_started:
            responder.abort()
            return _take_response(responder)
        headers = self._protocol.describe_refusal(refusal)
        await responder.send_whole(
            refusal.status,
            headers,
            _describe(refusal),
        )
        return _take_response(responder)

    def _note(self, call: Call | None, outcome: str, reason: str) -> None:
        elapsed = timedelta()
        if call is not None:
            elapsed = self._reception.clock.read_monotonic() - call.arrival
        self._reception.meters.count(outcome, elapsed)
        log.info(
            'call-ended',
            attempt=call.head.attempt if call else None,
            route=call.route.name if call else None,
            outcome=outcome,
            reason=reason,
            elapsed_ms=round(elapsed.total_seconds() * 1000),
            version=self._reception.holder.version,
        )


class HopIngress:
    """Take calls that other gateways forward.

    Parameters
    ----------
    reception : Reception
        Parts of the process.
    dispatcher : Dispatcher
        Has the calls answered in this region.
    """

    __slots__ = ('_dispatcher', '_reception')

    def __init__(self, reception: Reception, dispatcher: Dispatcher) -> None:
        """Keep the parts."""
        self._reception = reception
        self._dispatcher = dispatcher

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of another gateway."""
        responder = _VerdictResponder(request)
        now = self._reception.clock.read_monotonic()
        self._reception.meters.open_calls += 1
        try:
            call = open_envelope(await request.content.read(), now)
            responder.call = call
            await self._dispatcher.serve(call, responder)
        except CallError as refusal:
            if responder.has_started:
                responder.abort()
            else:
                await _tell_refusal(responder, refusal)
        finally:
            self._reception.meters.open_calls -= 1
        return _take_response(responder)


class _VerdictResponder(HttpResponder):
    """Way back to a gateway, which is told what the answer proves."""

    __slots__ = ('call', 'verdict')

    def __init__(self, request: web.BaseRequest) -> None:
        super().__init__(request, is_last=False)
        self.verdict: Verdict | None = None
        self.call: Call | None = None

    async def _send_head(
        self,
        response: web.StreamResponse,
        headers: Headers,
    ) -> None:
        verdict = self.verdict or _judge_status(response.status)
        runs = self.call.runs if self.call else 0
        marked = (*headers, (VERDICT, verdict.value), (RUNS, str(runs)))
        await super()._send_head(response, marked)


async def _tell_refusal(
    responder: _VerdictResponder,
    refusal: CallError,
) -> None:
    is_safe = refusal.outcome is Outcome.not_run
    responder.verdict = Verdict.declined if is_safe else Verdict.unknown
    await responder.send_whole(refusal.status, (), _describe(refusal))


def _judge_status(status: int) -> Verdict:
    is_failure = HTTPStatus.INTERNAL_SERVER_ERROR <= status < LAST_SERVER_ERROR
    return Verdict.failed if is_failure else Verdict.answered


async def read_body(request: web.BaseRequest, limits: RequestLimits) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    BodyTooLargeError
        If it exceeds the limit in force.
    """
    pieces = []
    length = 0
    async for piece in request.content.iter_any():
        length += len(piece)
        if length > limits.body_bytes:
            raise BodyTooLargeError('the body exceeds the limit')
        pieces.append(piece)
    return b''.join(pieces)


def limit_patience(head: CallHead, route: Route) -> timedelta:
    """Return the sooner of the caller's patience and the route's limit."""
    limits = [head.patience, route.time_limit]
    return min(
        (limit for limit in limits if limit),
        default=LONGEST_PATIENCE,
    )


def choose_service(route: Route, random: Random) -> str:
    """Draw one service of ``route`` by the weights of its splits."""
    if len(route.splits) == 1:
        return route.splits[0].service
    weights = [split.weight for split in route.splits]
    return random.choices(route.splits, weights)[0].service


def _describe(refusal: CallError) -> bytes:
    return msgspec.json.encode(
        {'code': refusal.code, 'detail': refusal.detail},
    )


def _take_response(responder: HttpResponder) -> web.StreamResponse:
    return responder.response or web.Response(
        status=HTTPStatus.INTERNAL_SERVER_ERROR,
    )
