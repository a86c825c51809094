"""One attempt of a call at a backend server."""

import aiohttp

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.call_limits import (
    compute_time_left,
    count_runs,
)
from baobabhinge_gateway.forwarding.crash_settling import settle_failures
from baobabhinge_gateway.forwarding.delivery import Delivery, FailedAnswer
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.failure_recording import record_failures
from baobabhinge_gateway.forwarding.open_runs import OpenRun, hold_run
from baobabhinge_gateway.forwarding.protocols import (
    AnswerVerdict,
    BackendProtocol,
    Responder,
)
from baobabhinge_gateway.forwarding.statement_reading import (
    record_refusal,
    record_statement,
)

# Verdicts on answers that the server gave to the call itself.
SERVER_VERDICTS = frozenset(
    (AnswerVerdict.answered, AnswerVerdict.failed, AnswerVerdict.declined)
)
TAKEN_VERDICTS = frozenset((AnswerVerdict.answered, AnswerVerdict.failed))


class ServerSender:
    """Send calls to backend servers.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the calls; it is not closed here.
    delivery : Delivery
        Passes answers on to the responder.
    state : DeploymentState
        Records loads, prefixes and failures of the exchanges.
    backends : BackendProtocol
        Protocol of the backend servers.
    """

    __slots__ = ('_backends', '_delivery', '_http', '_state')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        delivery: Delivery,
        state: DeploymentState,
        backends: BackendProtocol,
    ) -> None:
        """Store the collaborators."""
        self._http = http
        self._delivery = delivery
        self._state = state
        self._backends = backends

    async def send(
        self,
        call: Call,
        estimate: ServerEstimate,
        responder: Responder,
    ) -> FailedAnswer | None:
        """Send ``call`` to a backend server and pass its answer on.

        Returns and raises as `Delivery.deliver` does, and also raises
        `NotReachedError` and `NotServedError`.
        """
        server = estimate.server
        call.run_event = None
        call.run_software = server.software
        self._state.crashes.record_run(call)
        async with settle_failures(self._state.crashes, call, server):
            failed = await self._run(call, estimate, responder)
        self._state.reliability.record_outcome(
            server.name, has_failed=failed is not None
        )
        self._state.crashes.record_answer(call)
        if failed is None:
            self._state.crashes.record_stood_run(call)
        return failed

    async def _run(
        self, call: Call, estimate: ServerEstimate, responder: Responder
    ) -> FailedAnswer | None:
        with (
            count_runs(call, 1),
            record_failures(self._state, call, estimate.server),
            hold_run(self._state, call, estimate) as run,
        ):
            failed = await self._exchange(call, estimate, responder, run)
            if failed is None:
                self._state.pace.end_run(estimate, run.times)
            return failed

    async def _exchange(
        self,
        call: Call,
        estimate: ServerEstimate,
        responder: Responder,
        run: OpenRun,
    ) -> FailedAnswer | None:
        outbound = self._build_request(call, estimate, run)
        async with open_exchange(self._http, outbound) as response:
            self._state.reliability.reach.record_reached()
            verdict = self._backends.classify_answer(call, response)
            if verdict in SERVER_VERDICTS:
                record_statement(
                    self._state.statements,
                    estimate.server,
                    self._backends.read_statement(response),
                    may_end_limit=verdict is not AnswerVerdict.declined,
                )
            if verdict is AnswerVerdict.declined:
                record_refusal(
                    self._state.statements, self._http, estimate.server
                )
            if verdict in TAKEN_VERDICTS:
                run.sent.record_taken()
            if verdict is AnswerVerdict.misplaced:
                name = estimate.server.name
                self._state.reliability.suspect(
                    name, 'another incarnation answered'
                )
            return await self._delivery.deliver(
                call,
                response,
                verdict,
                responder,
                lambda: self._record_event(call, run),
            )

    def _record_event(self, call: Call, run: OpenRun) -> None:
        if call.run_event is None:
            run.load.record_first_event()
        call.latest_event = self._state.clock.read_monotonic()
        run.times.record_chunk(call.latest_event)
        call.run_event = call.run_event or call.latest_event
        call.first_event = call.first_event or call.latest_event
        self._state.crashes.record_progress(call)

    def _build_request(
        self, call: Call, estimate: ServerEstimate, run: OpenRun
    ) -> OutboundRequest:
        left = compute_time_left(call, self._state.clock)
        return OutboundRequest(
            call.head.method,
            estimate.server.address,
            call.head.target,
            self._backends.compose_headers(call, estimate, left),
            call.body,
            left,
            run.decision.check,
        )
