"""Requests of other gateways: forwarded calls and snapshots."""

from aiohttp import web

from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.forwarding.hop import (
    MILLISECOND,
    RETRY_AFTER_HEADER,
    receive_call,
)
from baobabhinge_gateway.forwarding.ingress import encode_refusal
from baobabhinge_gateway.forwarding.ingress_context import IngressContext
from baobabhinge_gateway.forwarding.memory_budget import MemoryUse
from baobabhinge_gateway.forwarding.problems import BodyTooLargeError
from baobabhinge_gateway.forwarding.protocols import CallDispatcher
from baobabhinge_gateway.forwarding.responder import (
    CONNECTION_ENDED,
    HttpResponder,
)
from baobabhinge_gateway.forwarding.run_report import RunReport, choose_verdict
from baobabhinge_gateway.forwarding.snapshot import SNAPSHOT_PATH
from baobabhinge_gateway.forwarding.snapshot_sender import SnapshotSender


class HopIngress:
    """Answer requests of other gateways.

    Parameters
    ----------
    context : IngressContext
        Dependencies that all calls share.
    dispatcher : CallDispatcher
        Answers forwarded calls in this region.
    snapshots : SnapshotSender
        Answers requests for state.
    """

    __slots__ = ('_context', '_dispatcher', '_snapshots')

    def __init__(
        self,
        context: IngressContext,
        dispatcher: CallDispatcher,
        snapshots: SnapshotSender,
    ) -> None:
        """Store the collaborators."""
        self._context = context
        self._dispatcher = dispatcher
        self._snapshots = snapshots

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of another gateway."""
        if request.path == SNAPSHOT_PATH:
            told = self._snapshots.answer(request.query, request.remote or '')
            return web.Response(
                status=told.status,
                headers=told.list_headers(),
                body=told.body,
            )
        with self._context.bounds.memory.open_use() as memory:
            return await self._answer_call(request, memory)

    async def _answer_call(
        self, request: web.BaseRequest, memory: MemoryUse
    ) -> web.StreamResponse:
        report = RunReport()
        responder = HttpResponder(
            request, memory, extend_headers=report.extend_headers
        )
        try:
            report.call = await receive_call(request, self._context, memory)
        except BodyTooLargeError as endless:
            self._context.record_end(None, endless.code, endless.detail)
            # Closes the connection without reading the rest.
            responder.abort()
            return responder.response
        except CallError as unreadable:
            await _refuse(responder, report, unreadable)
            return responder.response
        with self._context.metrics.track_open():
            await self._serve(responder, report)
        return responder.response

    async def _serve(self, responder: HttpResponder, report: RunReport) -> None:
        call = report.call
        if call is None:
            return
        try:
            async with self._context.bounds.stopping.bound_call(call):
                await self._dispatcher.serve(call, responder)
        except CONNECTION_ENDED:
            responder.abort()
            self._context.record_end(
                call, 'abandoned', 'the other gateway closed its connection'
            )
            raise
        except CallError as refusal:
            self._context.record_end(call, refusal.code, refusal.detail)
            await _refuse(responder, report, refusal)


async def _refuse(
    responder: HttpResponder,
    report: RunReport,
    refusal: CallError,
) -> None:
    # The frames of its traceback hold the request, and may be in a cycle.
    refusal.with_traceback(None)
    if responder.has_started or not refusal.is_awaited:
        responder.abort()
        return
    report.verdict = choose_verdict(refusal)
    retry_after = refusal.retry_after // MILLISECOND
    headers = ((RETRY_AFTER_HEADER, str(retry_after)),)
    await responder.send_complete(
        refusal.status, headers, encode_refusal(refusal)
    )
