"""Construction of the dispatcher of a gateway."""

import aiohttp

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.delivery import Delivery
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.hop_sender import HopSender
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.protocols import BackendProtocol
from baobabhinge_gateway.forwarding.rankings import find_ranking
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.senders import Senders
from baobabhinge_gateway.forwarding.server_sender import ServerSender
from baobabhinge_gateway.forwarding.target_selection import TargetSelector


def build_dispatcher(
    core: GatewayCore,
    http: aiohttp.ClientSession,
    backends: BackendProtocol,
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
    """
    state = core.state
    delivery = Delivery(backends)
    senders = Senders(
        ServerSender(http, delivery, state, backends),
        HopSender(http, delivery, state),
    )
    return Dispatcher(
        build_target_selector(core),
        senders,
        core.budget,
        state.clock,
    )


def build_target_selector(core: GatewayCore) -> TargetSelector:
    """Return the selector of the targets of calls."""
    own = core.settings.own
    return TargetSelector(
        Placement(core.state),
        RegionDirectory(
            own.name,
            own.region,
            core.settings.list_regions(),
            core.gateways,
            may_forward=core.settings.placing.lending,
        ),
        core.state,
        find_ranking(core.settings.placing.ranking),
        core.ingress.random,
    )
