"""One attempt of a call at a gateway of another region."""

import aiohttp
import msgspec

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.call_limits import (
    compute_time_left,
    count_runs,
)
from baobabhinge_gateway.forwarding.crashing_calls import CrashingCallError
from baobabhinge_gateway.forwarding.delivery import Delivery, FailedAnswer
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.hop import HopProtocol
from baobabhinge_gateway.forwarding.protocols import (
    AnswerVerdict,
    Responder,
)
from baobabhinge_gateway.forwarding.relay import ignore_first_event
from baobabhinge_gateway.forwarding.send_decision import decide_now


class HopSender:
    """Send calls to gateways of other regions.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the calls; it is not closed here.
    delivery : Delivery
        Passes answers on to the responder.
    state : DeploymentState
        Provides the clock of the deadlines.
    """

    __slots__ = ('_delivery', '_hop', '_http', '_state')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        delivery: Delivery,
        state: DeploymentState,
    ) -> None:
        """Store the collaborators."""
        self._http = http
        self._delivery = delivery
        self._state = state
        self._hop = HopProtocol()

    async def send(
        self,
        call: Call,
        address: str,
        responder: Responder,
    ) -> FailedAnswer | None:
        """Send ``call`` to the gateway at ``address`` and pass its answer on.

        Returns and raises as `Delivery.deliver` does, and also raises
        `NotReachedError` and `NotServedError`; the latter is a
        `CrashingCallError` if the other gateway knows that servers ended while
        they ran the same request.
        """
        outbound = self._build_request(call, address)
        with count_runs(call, call.attempts_left - call.runs) as before:
            async with open_exchange(self._http, outbound) as response:
                verdict = self._hop.classify_answer(call, response)
                if verdict is not AnswerVerdict.foreign:
                    # It replaces the assumption that all runs were used.
                    call.runs = before + self._hop.read_runs(call, response)
                    call.run_software = self._hop.read_software(response)
                if verdict is AnswerVerdict.refused:
                    raise CrashingCallError(
                        'another gateway refused a crashing request',
                        self._hop.read_retry_after(response),
                    )
                return await self._delivery.deliver(
                    call,
                    response,
                    verdict,
                    responder,
                    ignore_first_event,
                )

    def _build_request(self, call: Call, address: str) -> OutboundRequest:
        left = compute_time_left(call, self._state.clock)
        decision = decide_now(
            self._state.clock, self._state.statements, call.caller
        )
        return msgspec.structs.replace(
            self._hop.build_request(call, address, left), check=decision.check
        )
