"""Dependencies that all incoming calls share."""

from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import DeploymentConfiguration
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.call_log import log_end
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.metrics import CallMetrics
from baobabhinge_gateway.forwarding.request_bounds import (
    RequestBounds,
    build_request_bounds,
)
from baobabhinge_gateway.forwarding.startup import StartupGate
from baobabhinge_gateway.lifecycle import Lifecycle


class IngressContext(msgspec.Struct):
    """Dependencies that all incoming calls share.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of arrivals and deadlines.
    configuration : DeploymentConfiguration
        Configuration in force.
    random : Random
        Generator of random choices.
    lifecycle : Lifecycle
        Incarnation of the process, and whether it is draining.
    metrics : CallMetrics
        Counters of calls.
    startup_gate : StartupGate
        Holds calls that arrive while the process starts.
    bounds : RequestBounds
        Bounds on memory, and on time while the process stops; gates of calls.
    """

    clock: Clock
    configuration: DeploymentConfiguration
    random: Random
    lifecycle: Lifecycle
    metrics: CallMetrics
    startup_gate: StartupGate
    bounds: RequestBounds

    def record_end(self, call: Call | None, outcome: str, reason: str) -> None:
        """Count and log the end of a call.

        Parameters
        ----------
        call : Call or None
            ``None`` if the request did not become a call.
        outcome : str
            ``answered``, ``abandoned`` or the code of the refusal.
        reason : str
            Detail of the failure; empty if the call was answered.
        """
        now = self.clock.read_monotonic()
        elapsed = timedelta() if call is None else now - call.arrival
        self.metrics.count(outcome, elapsed)
        workspace = call.workspace if call else None
        if workspace is not None:
            self.metrics.count_workspace(workspace.name, outcome)
        callers = self.metrics.callers
        if call is not None:
            callers.record_end(call.caller)
        log_end(
            call,
            now,
            callers.loop_delay.read(is_new=False),
            outcome=outcome,
            reason=reason,
            version=self.configuration.version,
        )


def build_ingress_context(
    clock: Clock, state: DeploymentState, random: Random, memory: int
) -> IngressContext:
    """Return the dependencies of the calls of a process that starts.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the process.
    state : DeploymentState
        What calls wait for at the start.
    random : Random
        Generator of random choices.
    memory : int
        Bytes that the process may use altogether.
    """
    return IngressContext(
        clock,
        state.configuration,
        random,
        Lifecycle(clock),
        CallMetrics(),
        StartupGate(clock, state),
        build_request_bounds(clock, memory, state.configuration),
    )
