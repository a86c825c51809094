"""Listeners of a gateway."""

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.dispatch import Dispatcher
from baobabhinge_gateway.forwarding.hopingress import HopIngress
from baobabhinge_gateway.forwarding.ingress import CallerIngress
from baobabhinge_gateway.forwarding.protocols import CallerProtocol
from baobabhinge_gateway.forwarding.serving import HttpListener


def build_hop_listener(
    core: GatewayCore,
    dispatcher: Dispatcher,
) -> HttpListener:
    """Return the listener for other gateways."""
    hops = HopIngress(core, dispatcher)
    return HttpListener(core.settings.hop_address, hops.answer)


def build_entrance(
    core: GatewayCore,
    protocol: CallerProtocol,
    dispatcher: Dispatcher,
) -> HttpListener:
    """Return the listener for callers."""
    callers = CallerIngress(core.reception, protocol, dispatcher)
    return HttpListener(core.settings.caller_address, callers.answer)
