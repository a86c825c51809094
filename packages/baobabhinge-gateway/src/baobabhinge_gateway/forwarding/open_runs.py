"""Runs of calls at backend servers, as long as they last."""

from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from baobabhinge_gateway.forwarding.abandonment_recording import (
    record_abandonment,
)
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.loads import HeldLoad
from baobabhinge_gateway.forwarding.prefill_recording import record_prefill
from baobabhinge_gateway.forwarding.send_decision import (
    SendDecision,
    decide_now,
)
from baobabhinge_gateway.forwarding.server_pauses import SentCall
from baobabhinge_gateway.pace.run_times import RunTimes


class OpenRun(msgspec.Struct, frozen=True):
    """One run, and what it takes up at its server.

    Parameters
    ----------
    load : HeldLoad
        Load that it causes.
    sent : SentCall
        Its place among the calls that a returning server takes.
    decision : SendDecision
        Decision to send it.
    times : RunTimes
        Instants of its chunks.
    """

    load: HeldLoad
    sent: SentCall
    decision: SendDecision
    times: RunTimes


@contextmanager
def hold_run(
    state: DeploymentState, call: Call, estimate: ServerEstimate
) -> Iterator[OpenRun]:
    """Count a run at a server while the context is open.

    Parameters
    ----------
    state : DeploymentState
        Loads, pauses and cached prefixes of the servers.
    call : Call
        Call to run.
    estimate : ServerEstimate
        Its server, and the load that it adds.
    """
    server = estimate.server
    record_prefill(state, call, server)
    with (
        record_abandonment(state.crashes.lost_runs.abandoned, call, server),
        state.loads.hold(server.name, estimate.added) as load,
        state.statements.pauses.hold(server) as sent,
    ):
        decision = decide_now(
            state.clock, state.statements, call.caller, server
        )
        times = state.pace.begin_run(estimate, _expect_output(call))
        yield OpenRun(load, sent, decision, times)


def _expect_output(call: Call) -> int:
    demand = call.head.demand
    if demand is None:
        return 0
    return demand.expected_output or demand.output // 2
