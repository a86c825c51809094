"""Assembly of the run-once service of a gateway."""

from datetime import timedelta
from random import SystemRandom

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.platform import Platform
from baobabhinge_gateway.runonce.binding import KeyBinder
from baobabhinge_gateway.runonce.binding_sweeper import BindingSweeper
from baobabhinge_gateway.runonce.context import RunOnceContext
from baobabhinge_gateway.runonce.key_state import KeyState
from baobabhinge_gateway.runonce.service import RunOnceService

STORE_ROLE = 'run-once'


def build_run_once_service(
    fleet: FleetView,
    platform: Platform,
    lifecycle: Lifecycle,
    active: ActiveConfiguration,
    key_age: timedelta,
) -> RunOnceService:
    """Build the run-once service without starting it.

    Parameters
    ----------
    fleet : FleetView
        Gateways and backend servers.
    platform : Platform
        Clients of the platform services.
    lifecycle : Lifecycle
        Lifecycle of this process; it gives the incarnation.
    active : ActiveConfiguration
        Configuration in force.
    key_age : timedelta
        Age up to which keys of this gateway can be used.
    """
    context = RunOnceContext(
        platform.http,
        fleet,
        SystemClock(),
        SystemRandom(),
    )
    key_state = KeyState(
        fleet.own,
        lifecycle.incarnation,
        context.clock,
        context.random,
        key_age,
    )
    store = platform.open_store(STORE_ROLE)
    binder = KeyBinder(store, key_state, active)
    sweeper = BindingSweeper(store)
    return RunOnceService(context, key_state, binder, sweeper)
