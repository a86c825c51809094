"""Bounds on requests that arrive, and on the answers to them."""

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.access import AccessControl
from baobabhinge_gateway.deployment import DeploymentConfiguration
from baobabhinge_gateway.forwarding.call_gates import CallGates
from baobabhinge_gateway.forwarding.memory_budget import MemoryBudget
from baobabhinge_gateway.forwarding.stopping import StopSchedule


class RequestBounds(msgspec.Struct, frozen=True):
    """Bounds that all requests share.

    Parameters
    ----------
    stopping : StopSchedule
        Bounds requests and calls while the process stops.
    memory : MemoryBudget
        Bounds the bytes of requests and answers.
    access : AccessControl
        Finds the workspaces of callers.
    gates : CallGates
        Gates that calls pass before they are dispatched.
    """

    stopping: StopSchedule
    memory: MemoryBudget
    access: AccessControl
    gates: CallGates = msgspec.field(default_factory=CallGates)


def build_request_bounds(
    clock: Clock, memory: int, configuration: DeploymentConfiguration
) -> RequestBounds:
    """Return the bounds of a process that starts.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the process.
    memory : int
        Bytes that the process may use altogether.
    configuration : DeploymentConfiguration
        Configuration in force, with the keys of callers.
    """
    return RequestBounds(
        StopSchedule(clock),
        MemoryBudget(memory),
        AccessControl(configuration, clock),
    )
