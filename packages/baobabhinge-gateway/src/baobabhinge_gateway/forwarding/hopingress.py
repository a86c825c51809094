"""Calls that other gateways forward to this one."""

from http import HTTPStatus

from aiohttp import web

from baobabhinge_gateway.errors import CallError, Outcome
from baobabhinge_gateway.forwarding.call import Call, Headers
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.hop import RUNS, VERDICT, open_envelope
from baobabhinge_gateway.forwarding.ingress import describe
from baobabhinge_gateway.forwarding.protocols import Verdict
from baobabhinge_gateway.forwarding.reception import Reception
from baobabhinge_gateway.forwarding.responding import HttpResponder


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
        body = await request.content.read()
        now = self._reception.clock.read_monotonic()
        proof = Proof()
        responder = HttpResponder(request, complete=proof.complete_headers)
        try:
            proof.call = open_envelope(body, now)
        except CallError as unreadable:
            await _refuse(responder, proof, unreadable)
            return responder.response
        with self._reception.meters.hold():
            await self._serve(proof.call, responder, proof)
        return responder.response

    async def _serve(
        self,
        call: Call,
        responder: HttpResponder,
        proof: 'Proof',
    ) -> None:
        try:
            await self._dispatcher.serve(call, responder)
        except CallError as refusal:
            self._reception.note_end(call, refusal.code, refusal.detail)
            await _refuse(responder, proof, refusal)


class Proof:
    """What an answer proves to the gateway that forwarded the call.

    Attributes
    ----------
    call : Call or None
        The call, once it was read.
    verdict : Verdict or None
        Told in place of what the status says.
    """

    __slots__ = ('call', 'verdict')

    def __init__(self) -> None:
        """Prove nothing yet."""
        self.call: Call | None = None
        self.verdict: Verdict | None = None

    def complete_headers(self, status: int, headers: Headers) -> Headers:
        """Add what the answer proves, and how many servers ran the call."""
        verdict = self.verdict or _judge_status(status)
        runs = self.call.runs if self.call else 0
        return (*headers, (VERDICT, verdict.value), (RUNS, str(runs)))


async def _refuse(
    responder: HttpResponder,
    proof: Proof,
    refusal: CallError,
) -> None:
    if responder.has_started:
        responder.abort()
        return
    is_safe = refusal.outcome is Outcome.not_run
    proof.verdict = Verdict.declined if is_safe else Verdict.unknown
    await responder.send_whole(refusal.status, (), describe(refusal))


def _judge_status(status: int) -> Verdict:
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Verdict.failed
    return Verdict.answered
