"""Construction of the health checks of a gateway."""

import aiohttp

from baobabhinge_gateway.forwarding.check_sharing import CheckSharing
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.health import HealthChecker
from baobabhinge_gateway.forwarding.health_request import HealthRequester
from baobabhinge_gateway.forwarding.link_probing import LinkProbing
from baobabhinge_gateway.forwarding.protocols import BackendProtocol
from baobabhinge_gateway.forwarding.selection_assembly import (
    build_region_directory,
)
from baobabhinge_gateway.forwarding.send_gate import SendGate


def build_health_checker(
    core: GatewayCore,
    http: aiohttp.ClientSession,
    backends: BackendProtocol,
) -> HealthChecker:
    """Return the service that checks servers over ``http``.

    Parameters
    ----------
    core : GatewayCore
        State of the gateway.
    http : aiohttp.ClientSession
        Session for the checks; it is not closed here.
    backends : BackendProtocol
        Protocol of the backend servers.
    """
    return HealthChecker(
        HealthRequester(http, backends, core.state),
        core.state,
        SendGate(core.state, build_region_directory(core)),
        CheckSharing(core.gateways, core.updater),
        LinkProbing(core.state, core.ingress.random),
    )
