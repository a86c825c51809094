"""Calls that other gateways forward to this one."""

from aiohttp import web

from baobabhinge_gateway.errors import CallError, Outcome
from baobabhinge_gateway.forwarding.catchingup import SNAPSHOT_PATH
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.feed import take_snapshot
from baobabhinge_gateway.forwarding.hop import open_envelope
from baobabhinge_gateway.forwarding.ingress import describe
from baobabhinge_gateway.forwarding.protocols import Verdict
from baobabhinge_gateway.forwarding.responding import HttpResponder
from baobabhinge_gateway.forwarding.run_report import RunReport
from baobabhinge_gateway.forwarding.snapshot import read_marks


class HopIngress:
    """Take calls that other gateways forward.

    Parameters
    ----------
    core : GatewayCore
        State of this gateway.
    dispatcher : Dispatcher
        Has the calls answered in this region.
    """

    __slots__ = ('_core', '_dispatcher', '_reception')

    def __init__(self, core: GatewayCore, dispatcher: Dispatcher) -> None:
        """Keep the parts."""
        self._core = core
        self._reception = core.reception
        self._dispatcher = dispatcher

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of another gateway."""
        if request.path == SNAPSHOT_PATH:
            return web.Response(body=self._take_snapshot(request))
        body = await request.content.read()
        now = self._reception.clock.read_monotonic()
        proof = RunReport()
        responder = HttpResponder(request, complete=proof.extend_headers)
        try:
            proof.call = open_envelope(body, now)
        except CallError as unreadable:
            await _refuse(responder, proof, unreadable)
            return responder.response
        with self._reception.meters.hold():
            await self._serve(responder, proof)
        return responder.response

    def _take_snapshot(self, request: web.BaseRequest) -> bytes:
        since = read_marks(request.query)
        return take_snapshot(self._core.feed, self._core.knowledge, since)

    async def _serve(self, responder: HttpResponder, proof: RunReport) -> None:
        call = proof.call
        if call is None:
            return
        try:
            await self._dispatcher.serve(call, responder)
        except CallError as refusal:
            self._reception.note_end(call, refusal.code, refusal.detail)
            await _refuse(responder, proof, refusal)


async def _refuse(
    responder: HttpResponder,
    proof: RunReport,
    refusal: CallError,
) -> None:
    if responder.has_started:
        responder.abort()
        return
    is_safe = refusal.outcome is Outcome.not_run
    proof.verdict = Verdict.declined if is_safe else Verdict.unknown
    await responder.send_whole(refusal.status, (), describe(refusal))
