"""Runs of the model, and what gateways learn from them."""

from baobabhinge_gateway.forwarding.engine_timing import FIRST_EVENT_STEPS
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.loads import HeldLoad
from baobabhinge_gateway.pace.run_times import RunTimes
from baobabhinge_standins.batching.engine import EngineRun
from baobabhinge_standins.batching.gateways import ModelGateway
from baobabhinge_standins.batching.workload import DrawnCall

# Callers leave a stream that has not started after this many objectives.
FIRST_EVENT_FACTOR = 4


def build_run(
    drawn: DrawnCall, gateway: ModelGateway, estimate: ServerEstimate
) -> EngineRun:
    """Return a run that tells its gateway when it begins and ends.

    Parameters
    ----------
    drawn : DrawnCall
        The call.
    gateway : ModelGateway
        Gateway that places it.
    estimate : ServerEstimate
        Estimate for the chosen engine.
    """
    held = HeldLoad(gateway.state.loads, estimate.server.name, estimate.added)
    times = gateway.state.pace.begin_run(estimate, drawn.expected_output)

    def end(run: EngineRun) -> None:
        held.release()
        if run.is_complete:
            _record_times(run, times)
            gateway.state.pace.end_run(estimate, times)

    return EngineRun(
        drawn.prompt,
        drawn.output,
        drawn.mix.priority,
        drawn.arrival + FIRST_EVENT_FACTOR * drawn.mix.objective,
        drawn.arrival + drawn.mix.time_limit,
        lambda _: held.record_first_event(),
        end,
    )


def _record_times(run: EngineRun, times: RunTimes) -> None:
    times.first = run.first
    times.latest = run.end
    times.chunks = run.output // FIRST_EVENT_STEPS
