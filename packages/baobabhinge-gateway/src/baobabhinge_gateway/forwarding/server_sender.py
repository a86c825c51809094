"""One attempt of a call at a backend server."""

import aiohttp

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.delivery import Delivery, FailedAnswer
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.estimates import Prospect
from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.limits import count_runs, measure_left
from baobabhinge_gateway.forwarding.loads import HeldLoad
from baobabhinge_gateway.forwarding.noting import noting_failures
from baobabhinge_gateway.forwarding.protocols import (
    AnswerVerdict,
    BackendProtocol,
    Responder,
)
from baobabhinge_gateway.forwarding.relay import FirstEventCallback


class ServerSender:
    """Send calls to backend servers.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the calls; the sender does not close it.
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
        prospect: Prospect,
        responder: Responder,
    ) -> FailedAnswer | None:
        """Send ``call`` to a backend server and pass its answer on.

        Returns and raises as `Delivery.deliver` does, and also raises
        `NotReachedError` and `NotServedError`.
        """
        server = prospect.server
        self._state.record_reading(call, server)
        with (
            count_runs(call, 1),
            noting_failures(self._state.reliability, server.name),
            self._state.loads.hold(server.name, prospect.added) as held,
        ):
            failed = await self._exchange(
                call,
                prospect,
                responder,
                lambda: self._record_first_event(call, held),
            )
        self._state.reliability.note(server.name, has_failed=failed is not None)
        return failed

    async def _exchange(
        self,
        call: Call,
        prospect: Prospect,
        responder: Responder,
        on_first_event: FirstEventCallback,
    ) -> FailedAnswer | None:
        outbound = self._build_request(call, prospect)
        async with open_exchange(self._http, outbound) as response:
            verdict = self._backends.classify_answer(call, response)
            if verdict is AnswerVerdict.misplaced:
                name = prospect.server.name
                self._state.reliability.suspect(
                    name, 'another incarnation answered'
                )
            return await self._delivery.deliver(
                call,
                response,
                verdict,
                responder,
                on_first_event,
            )

    def _record_first_event(self, call: Call, held: HeldLoad) -> None:
        held.note_first_event()
        if call.first_event is None:
            call.first_event = self._state.clock.read_monotonic()

    def _build_request(self, call: Call, prospect: Prospect) -> OutboundRequest:
        left = measure_left(call, self._state.clock)
        return OutboundRequest(
            call.head.method,
            prospect.server.address,
            call.head.target,
            self._backends.compose_headers(call, prospect, left),
            call.body,
            left,
        )
