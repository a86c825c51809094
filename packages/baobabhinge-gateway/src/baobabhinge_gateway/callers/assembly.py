"""Putting together what serves callers."""

from random import SystemRandom

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.callers.service import CallServer
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.execution import Executors, RepeatableExecutor
from baobabhinge_gateway.fleet import VmWatcher
from baobabhinge_gateway.platform import Platform
from baobabhinge_gateway.routing import (
    Dispatcher,
    InFlight,
    Router,
    create_policy,
)

RETRY_SHARE = 0.1
RETRY_BURST = 10
DEFAULT_POLICY = 'least-in-flight'


def build_call_server(
    hop: Hop,
    active: ActiveConfiguration,
    fleet: VmWatcher,
    platform: Platform,
) -> CallServer:
    """Return the server of calls of one gateway."""
    clock = SystemClock()
    in_flight = InFlight()
    policy = create_policy(DEFAULT_POLICY, SystemRandom())
    repeatable = RepeatableExecutor(
        Router(hop.region, fleet, policy, in_flight),
        Dispatcher(platform.http, clock, in_flight),
        RetryBudget(share=RETRY_SHARE, burst=RETRY_BURST),
        clock,
    )
    executors = Executors(
        model=repeatable,
        plain=repeatable,
        run_once=repeatable,
    )
    return CallServer(hop, clock, active, executors)
