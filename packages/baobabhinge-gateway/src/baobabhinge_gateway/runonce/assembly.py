"""Putting together the parts for run-once calls of one gateway."""

from random import SystemRandom

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.platform import Platform
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_gateway.runonce.parts import RunOnceParts

STORE_ROLE = 'run-once'


def build_run_once(
    fleet: FleetView,
    platform: Platform,
    incarnation: str,
) -> RunOnceParts:
    """Return the parts; they start with the service."""
    environment = Environment(
        platform.http,
        fleet,
        SystemClock(),
        SystemRandom(),
    )
    store = platform.open_store(STORE_ROLE)
    return RunOnceParts(environment, store, incarnation)
