"""Recording of runs for which nobody waits any longer."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import structlog

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.abandoned_runs import AbandonedRunTable
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.failures import TimeLimitError
from baobabhinge_gateway.forwarding.fingerprints import fingerprint_call

log = structlog.get_logger(__name__)


@contextmanager
def record_abandonment(
    table: AbandonedRunTable, call: Call, server: BackendServer
) -> Iterator[None]:
    """Record the run in the context if it is abandoned.

    Parameters
    ----------
    table : AbandonedRunTable
        Records the run.
    call : Call
        Call of the run.
    server : BackendServer
        Its server.
    """
    try:
        yield
    except (asyncio.CancelledError, ConnectionError, TimeLimitError):
        log.info(
            'run-abandoned',
            attempt=call.head.attempt,
            server=server.name,
            fingerprint=fingerprint_call(call),
        )
        table.record(call, server)
        raise
