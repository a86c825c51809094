"""Recording of what a failed exchange shows about its backend server."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import structlog

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.deployment.servers import is_serving
from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.failures import (
    AttemptError,
    StreamBrokenError,
    TimeLimitError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.fingerprints import fingerprint_call
from baobabhinge_gateway.forwarding.part_fingerprints import fingerprint_parts

MILLISECOND = timedelta(milliseconds=1)
# Of the time for which servers serve on after their entries are gone; a gateway
# learns late that an entry is gone.
CERTAIN_FRACTION = 0.5

log = structlog.get_logger(__name__)


@contextmanager
def record_failures(
    state: DeploymentState,
    call: Call,
    server: BackendServer,
) -> Iterator[None]:
    """Record a failure of the exchange in the context, and pass it on.

    A server whose connection broke may have restarted and be cold, so it gets
    no call until a health check passes.

    Parameters
    ----------
    state : DeploymentState
        Records the failure.
    call : Call
        Call of the exchange.
    server : BackendServer
        The server.
    """
    reliability = state.reliability
    try:
        yield
    except NotReachedError:
        reliability.suspect_unreached(server.name, 'not reached')
        raise
    except (UnknownOutcomeError, StreamBrokenError) as lost:
        if lost.concerns_server:
            _record_loss(state, call, server, lost)
        raise
    except TimeLimitError:
        reliability.record_outcome(server.name, has_failed=True)
        raise


def _record_loss(
    state: DeploymentState,
    call: Call,
    server: BackendServer,
    lost: AttemptError,
) -> None:
    reliability = state.reliability
    log.info(
        'run-lost',
        attempt=call.head.attempt,
        server=server.name,
        fingerprint=fingerprint_call(call),
        parts=fingerprint_parts(call),
        answering_ms=_compute_answering_ms(state, call),
    )
    reliability.record_outcome(server.name, has_failed=True)
    reliability.suspect_unreached(server.name, str(lost))
    # Servers that leave end under the calls that they still run.
    departures = state.statements.departures
    notice = departures.notice * CERTAIN_FRACTION
    is_leaving = departures.is_leaving(server)
    if not is_leaving and is_serving(state.catalogue, server.name, notice):
        state.crashes.lost_runs.record(call, server)


def _compute_answering_ms(state: DeploymentState, call: Call) -> int | None:
    if call.run_event is None:
        return None
    return (state.clock.read_monotonic() - call.run_event) // MILLISECOND
