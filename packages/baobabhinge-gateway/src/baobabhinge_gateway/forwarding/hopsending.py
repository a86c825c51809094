"""One attempt of a call at a gateway of another region."""

import aiohttp

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.call_limits import (
    compute_time_left,
    count_runs,
)
from baobabhinge_gateway.forwarding.delivery import Delivery, FailedAnswer
from baobabhinge_gateway.forwarding.exchange import open_exchange
from baobabhinge_gateway.forwarding.hop import HopProtocol
from baobabhinge_gateway.forwarding.knowledge import Knowledge
from baobabhinge_gateway.forwarding.protocols import Responder
from baobabhinge_gateway.forwarding.relay import note_nothing


class HopSender:
    """Send calls to other gateways.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns.
    delivery : Delivery
        Passes the answers on.
    knowledge : Knowledge
        Holds the clock of the deadlines.
    """

    __slots__ = ('_delivery', '_hop', '_http', '_known')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        delivery: Delivery,
        knowledge: Knowledge,
    ) -> None:
        """Keep the parts."""
        self._http = http
        self._delivery = delivery
        self._known = knowledge
        self._hop = HopProtocol()

    async def send(
        self,
        call: Call,
        address: str,
        responder: Responder,
    ) -> FailedAnswer | None:
        """Send ``call`` to the gateway at ``address``; see `Delivery`."""
        left = compute_time_left(call, self._known.clock)
        outbound = self._hop.compose(call, address, left)
        with count_runs(call, call.attempts_left - call.runs) as before:
            async with open_exchange(self._http, outbound) as response:
                # Until the other gateway told, it may have used all attempts.
                call.runs = before + self._hop.read_runs(call, response)
                return await self._delivery.deliver(
                    call,
                    response,
                    self._hop.judge(response),
                    responder,
                    note_nothing,
                )
