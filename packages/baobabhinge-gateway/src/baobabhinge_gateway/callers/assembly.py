"""Putting together what serves callers."""

from random import SystemRandom

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.callers.service import CallServer
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.execution import (
    Executors,
    RepeatableExecutor,
    RoutingBuilder,
)
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.platform import Platform

RETRY_SHARE = 0.1
RETRY_BURST = 10
DEFAULT_POLICY = 'estimated-latency'


def build_call_server(
    hop: Hop,
    active: ActiveConfiguration,
    fleet: FleetView,
    platform: Platform,
) -> CallServer:
    """Return the server of calls of one gateway."""
    clock = SystemClock()
    builder = RoutingBuilder(clock, SystemRandom(), fleet, fleet)
    routing = builder.build(hop.region, DEFAULT_POLICY, platform.http)
    repeatable = RepeatableExecutor(
        routing.router,
        routing.dispatcher,
        RetryBudget(share=RETRY_SHARE, burst=RETRY_BURST),
        clock,
    )
    executors = Executors(
        model=repeatable,
        plain=repeatable,
        run_once=repeatable,
    )
    return CallServer(hop, clock, active, executors)
