"""Construction of the dispatcher of a gateway."""

import aiohttp

from baobabhinge_gateway.connections.deadlines import bound_stream
from baobabhinge_gateway.copies.assembly import build_copy_sender
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.delivery import Delivery
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.hop_sender import HopSender
from baobabhinge_gateway.forwarding.protocols import BackendProtocol
from baobabhinge_gateway.forwarding.selection_assembly import (
    build_target_selector,
)
from baobabhinge_gateway.forwarding.senders import Senders
from baobabhinge_gateway.forwarding.server_sender import ServerSender
from baobabhinge_gateway.forwarding.take_ups import TakeUps


def build_dispatcher(
    core: GatewayCore,
    http: aiohttp.ClientSession,
    backends: BackendProtocol,
    take_ups: TakeUps,
) -> Dispatcher:
    """Return the dispatcher that sends calls over ``http``.

    Parameters
    ----------
    core : GatewayCore
        State of the gateway.
    http : aiohttp.ClientSession
        Session for all calls; it is not closed here.
    backends : BackendProtocol
        Protocol of the backend servers.
    take_ups : TakeUps
        Records where streams begin.
    """
    state = core.state
    delivery = Delivery(
        backends,
        take_ups.record_begin,
        lambda call: bound_stream(state.clock, call),
    )
    senders = Senders(
        ServerSender(http, delivery, state, backends),
        HopSender(http, delivery, state),
    )
    return Dispatcher(
        build_target_selector(core),
        build_copy_sender(core, senders),
        core.budget,
        state.clock,
    )
