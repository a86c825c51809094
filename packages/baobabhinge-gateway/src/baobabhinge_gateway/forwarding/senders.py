"""Choice of the sender by the kind of target."""

import msgspec

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.delivery import FailedAnswer
from baobabhinge_gateway.forwarding.hop_sender import HopSender
from baobabhinge_gateway.forwarding.protocols import Responder
from baobabhinge_gateway.forwarding.server_sender import ServerSender
from baobabhinge_gateway.forwarding.targets import Target


class Senders(msgspec.Struct):
    """Send calls to backend servers or to gateways of other regions.

    Parameters
    ----------
    servers : ServerSender
        Sends to backend servers of the local region.
    hops : HopSender
        Sends to gateways of other regions.
    """

    servers: ServerSender
    hops: HopSender

    async def send(
        self,
        call: Call,
        target: Target,
        responder: Responder,
    ) -> FailedAnswer | None:
        """Send ``call`` to ``target``; see `ServerSender.send`."""
        if target.estimate is None:
            return await self.hops.send(call, target.address, responder)
        return await self.servers.send(call, target.estimate, responder)
