"""Assembly of the server of calls."""

from random import SystemRandom

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.callers.call_server import CallServer
from baobabhinge_gateway.callers.dependencies import CallDependencies
from baobabhinge_gateway.callers.request_checks import build_request_checks
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.execution import (
    CallCounters,
    ExecutorLimits,
    Executors,
    RepeatableExecutor,
    RoutingBuilder,
)
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.platform import Platform
from baobabhinge_gateway.routing import RoutingRules

RETRY_FRACTION = 0.1
RETRY_BURST = 10


def build_call_server(
    active: ActiveConfiguration,
    fleet: FleetView,
    platform: Platform,
    dependencies: CallDependencies,
) -> CallServer:
    """Return the server of calls of this gateway."""
    clock = SystemClock()
    rules = RoutingRules(active, fleet.own.region)
    counters = CallCounters(clock, fleet.own.region)
    repeatable = _build_repeatable(
        RoutingBuilder(clock, SystemRandom(), fleet, rules, counters),
        platform,
        dependencies,
    )
    limits = ExecutorLimits(counters.quotas, rules)
    return CallServer(
        fleet.own,
        clock,
        active,
        Executors(
            model=limits.wrap(repeatable),
            plain=limits.wrap(repeatable),
            run_once=limits.wrap(dependencies.run_once),
            counters=counters,
        ),
        build_request_checks(fleet, active, dependencies.lifecycle),
    )


def _build_repeatable(
    builder: RoutingBuilder,
    platform: Platform,
    dependencies: CallDependencies,
) -> RepeatableExecutor:
    routing = builder.build(platform.http)
    return RepeatableExecutor(
        routing.router,
        routing.dispatcher,
        RetryBudget(retry_fraction=RETRY_FRACTION, burst=RETRY_BURST),
        SystemClock(),
        dependencies.isolation,
    )
