"""Recording of the shared prefixes that engines prefill."""

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.prefixes import CachedPrefix


def record_prefill(
    state: DeploymentState, call: Call, server: BackendServer
) -> None:
    """Record that ``server`` prefills the shared prefix of ``call``."""
    demand = call.head.demand
    if demand is None:
        return
    names = tuple(part.name for part in demand.shared)
    prefix = CachedPrefix(server.name, names)
    state.prefixes.record(prefix)
    state.announcements.add(prefix, call, demand.shared_tokens)
