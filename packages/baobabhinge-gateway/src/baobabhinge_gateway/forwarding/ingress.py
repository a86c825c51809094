"""Requests of callers, turned into calls and answered."""

import asyncio
from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.forwarding.bodies import (
    choose_service,
    limit_patience,
    read_body,
)
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.problems import (
    NoConfigurationError,
    NoRouteError,
)
from baobabhinge_gateway.forwarding.protocols import CallerProtocol
from baobabhinge_gateway.forwarding.reception import Reception
from baobabhinge_gateway.forwarding.responding import HttpResponder


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
        await self._reception.start.wait()
        try:
            call = await self._read_call(request, arrival)
        except CallError as refusal:
            await self._refuse(responder, refusal, None)
        else:
            with self._reception.meters.hold():
                await self._serve(call, responder)
        return responder.response

    async def _serve(self, call: Call, responder: HttpResponder) -> None:
        try:
            await self._dispatcher.serve(call, responder)
        except CallError as refusal:
            await self._refuse(responder, refusal, call)
        except (asyncio.CancelledError, ConnectionError):
            self._reception.note_end(call, 'abandoned', 'the caller left')
            raise
        else:
            self._reception.note_end(call, 'answered', '')

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
        responder: HttpResponder,
        refusal: CallError,
        call: Call | None,
    ) -> None:
        self._reception.note_end(call, refusal.code, refusal.detail)
        if responder.has_started:
            responder.abort()
            return
        await responder.send_whole(
            refusal.status,
            self._protocol.describe_refusal(refusal),
            describe(refusal),
        )


def describe(refusal: CallError) -> bytes:
    """Return the body of a final answer of the gateway's own."""
    return msgspec.json.encode(
        {'code': refusal.code, 'detail': refusal.detail},
    )
