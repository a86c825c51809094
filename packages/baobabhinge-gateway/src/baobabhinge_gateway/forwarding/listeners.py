"""Construction of the listeners for callers and for other gateways."""

from baobabhinge_gateway.connections.limits import compute_limits
from baobabhinge_gateway.connections.server import ListenerBounds
from baobabhinge_gateway.deployment import RequestLimits
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.hop_ingress import HopIngress
from baobabhinge_gateway.forwarding.http_listener import HttpListener
from baobabhinge_gateway.forwarding.ingress import CallerIngress
from baobabhinge_gateway.forwarding.protocols import (
    CallDispatcher,
    CallerProtocol,
)
from baobabhinge_gateway.forwarding.snapshot_sender import SnapshotSender
from baobabhinge_gateway.forwarding.take_up_dispatch import TakeUpDispatcher
from baobabhinge_gateway.forwarding.take_ups import TakeUps
from baobabhinge_gateway.shares.gate import add_shares

DEFAULT_LIMITS = RequestLimits()


def build_hop_listener(
    core: GatewayCore,
    dispatcher: CallDispatcher,
    snapshots: SnapshotSender,
) -> HttpListener:
    """Return the listener for requests of other gateways."""
    hops = HopIngress(core.ingress, dispatcher, snapshots)
    return HttpListener(core.settings.hop_address, hops.answer)


def build_caller_listener(
    core: GatewayCore,
    protocol: CallerProtocol,
    dispatcher: CallDispatcher,
    take_ups: TakeUps,
) -> HttpListener:
    """Return the listener for requests of callers."""
    add_shares(core)
    bound = TakeUpDispatcher(take_ups, dispatcher)
    callers = CallerIngress(core.ingress, protocol, bound)
    bounds = ListenerBounds(
        compute_limits(core.settings.max_descriptors),
        core.ingress.bounds.memory.waits,
        lambda: _read_limits(core),
    )
    return HttpListener(core.settings.caller_address, callers.answer, bounds)


def _read_limits(core: GatewayCore) -> RequestLimits:
    revision = core.state.configuration.revision
    return revision.limits if revision else DEFAULT_LIMITS
