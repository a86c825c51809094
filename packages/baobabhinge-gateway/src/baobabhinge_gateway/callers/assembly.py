"""Putting together what serves callers."""

from random import SystemRandom

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_coordination.clock import Clock, SystemClock
from baobabhinge_gateway.callers.checks import ArrivalChecks
from baobabhinge_gateway.callers.service import CallServer
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.execution import (
    Executor,
    Executors,
    RepeatableExecutor,
    RoutingBuilder,
)
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.platform import Platform

RETRY_SHARE = 0.1
RETRY_BURST = 10
DEFAULT_POLICY = 'estimated-latency'


def build_call_server(
    active: ActiveConfiguration,
    fleet: FleetView,
    platform: Platform,
    lifecycle: Lifecycle,
    run_once: Executor,
) -> CallServer:
    """Return the server of calls of one gateway."""
    clock = SystemClock()
    repeatable = _build_repeatable(clock, fleet, platform)
    return CallServer(
        fleet.home,
        clock,
        active,
        Executors(model=repeatable, plain=repeatable, run_once=run_once),
        ArrivalChecks(fleet, lifecycle),
    )


def _build_repeatable(
    clock: Clock,
    fleet: FleetView,
    platform: Platform,
) -> RepeatableExecutor:
    builder = RoutingBuilder(clock, SystemRandom(), fleet, fleet)
    region = fleet.home.region
    routing = builder.build(region, DEFAULT_POLICY, platform.http)
    return RepeatableExecutor(
        routing.router,
        routing.dispatcher,
        RetryBudget(share=RETRY_SHARE, burst=RETRY_BURST),
        clock,
    )
