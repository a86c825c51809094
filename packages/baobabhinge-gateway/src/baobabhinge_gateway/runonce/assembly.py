"""Putting together the parts for run-once calls of one gateway."""

from datetime import timedelta
from random import SystemRandom

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.platform import Platform
from baobabhinge_gateway.runonce.binding import KeyBinder
from baobabhinge_gateway.runonce.environment import Environment
from baobabhinge_gateway.runonce.memory import RunOnceMemory
from baobabhinge_gateway.runonce.parts import RunOnceParts
from baobabhinge_gateway.runonce.sweeping import BindingSweeper

STORE_ROLE = 'run-once'


def build_run_once(
    fleet: FleetView,
    platform: Platform,
    lifecycle: Lifecycle,
    active: ActiveConfiguration,
    key_age: timedelta,
) -> RunOnceParts:
    """Return the parts; they start with the service.

    Parameters
    ----------
    fleet : FleetView
        Gateways and backend servers.
    platform : Platform
        Clients of the platform's services.
    lifecycle : Lifecycle
        Stage of this process.
    active : ActiveConfiguration
        Configuration in force.
    key_age : timedelta
        How long keys made here can be used.
    """
    environment = Environment(
        platform.http,
        fleet,
        SystemClock(),
        SystemRandom(),
    )
    memory = RunOnceMemory(
        fleet.home,
        lifecycle.incarnation,
        environment.clock,
        environment.random,
        key_age,
    )
    store = platform.open_store(STORE_ROLE)
    binder = KeyBinder(store, memory, active)
    sweeper = BindingSweeper(store)
    return RunOnceParts(environment, memory, binder, sweeper)
