"""Requests of callers: reading, dispatching, answering and refusing them."""

from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.forwarding.bodies import (
    choose_service,
    choose_time_limit,
    read_body,
)
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.ingress_context import IngressContext
from baobabhinge_gateway.forwarding.ingress_heads import check_head
from baobabhinge_gateway.forwarding.memory_budget import MemoryUse
from baobabhinge_gateway.forwarding.protocols import (
    CallDispatcher,
    CallerProtocol,
)
from baobabhinge_gateway.forwarding.responder import (
    CONNECTION_ENDED,
    HttpResponder,
)


class CallerIngress:
    """Answer requests of callers.

    Parameters
    ----------
    context : IngressContext
        Dependencies that all incoming calls share.
    protocol : CallerProtocol
        Protocol of the callers.
    dispatcher : CallDispatcher
        Answers the calls.
    """

    __slots__ = ('_context', '_dispatcher', '_protocol')

    def __init__(
        self,
        context: IngressContext,
        protocol: CallerProtocol,
        dispatcher: CallDispatcher,
    ) -> None:
        """Store the collaborators."""
        self._context = context
        self._protocol = protocol
        self._dispatcher = dispatcher

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        with self._context.bounds.memory.open_use() as memory:
            return await self._answer(request, memory)

    async def _answer(
        self, request: web.BaseRequest, memory: MemoryUse
    ) -> web.StreamResponse:
        arrival = self._context.clock.read_monotonic()
        responder = HttpResponder(
            request, memory, lifecycle=self._context.lifecycle
        )
        caller = self._context.metrics.callers.find(request)
        await self._context.startup_gate.wait()
        try:
            call = await self._read_call(request, arrival, memory)
        except CallError as refusal:
            await self._refuse(responder, refusal, None)
        else:
            call.caller = caller
            call.deadline -= caller.waited
            with self._context.metrics.track_open():
                await self._serve(call, responder)
        return responder.response

    async def _serve(self, call: Call, responder: HttpResponder) -> None:
        try:
            async with (
                self._context.bounds.stopping.bound_call(call),
                self._context.bounds.gates.admit(call),
            ):
                await self._dispatcher.serve(call, responder)
        except CallError as refusal:
            await self._refuse(responder, refusal, call)
        except CONNECTION_ENDED:
            responder.abort()
            self._context.record_end(
                call, 'abandoned', 'the caller closed its connection'
            )
            raise
        else:
            self._context.record_end(call, 'answered', '')

    async def _read_call(
        self,
        request: web.BaseRequest,
        arrival: timedelta,
        memory: MemoryUse,
    ) -> Call:
        checked = check_head(request, self._context, self._protocol)
        route = checked.route
        bounds = self._context.bounds
        async with bounds.stopping.bound_upload(route):
            body = await read_body(request, checked.limits.body_bytes, memory)
        bounds.stopping.check(route)
        call = Call(
            head=checked.head,
            body=body,
            route=route,
            service=choose_service(route, self._context.random),
            arrival=arrival,
            deadline=arrival + choose_time_limit(checked.head, route),
            attempts_left=max(1, route.max_attempts),
            memory=memory,
            confirm=checked.access.confirm,
        )
        call.confirm(call)
        return call

    async def _refuse(
        self,
        responder: HttpResponder,
        refusal: CallError,
        call: Call | None,
    ) -> None:
        # The frames of its traceback hold the request, and may be in a cycle.
        refusal.with_traceback(None)
        if refusal.is_logged:
            self._context.record_end(call, refusal.code, refusal.detail)
        else:
            self._context.metrics.count(refusal.code, timedelta())
        if responder.has_started or not refusal.is_awaited:
            responder.abort()
            return
        await responder.send_complete(
            refusal.status,
            self._protocol.describe_refusal(refusal),
            encode_refusal(refusal),
        )


def encode_refusal(refusal: CallError) -> bytes:
    """Return the JSON body of a refusal by the gateway itself."""
    return msgspec.json.encode(
        {'code': refusal.code, 'detail': refusal.detail},
    )
