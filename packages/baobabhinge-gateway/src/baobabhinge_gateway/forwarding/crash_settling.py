"""Failures of requests under which servers have ended before.

Load pattern: all gateways end right after such a request has ended one more
server, and it comes again when they are back.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from datetime import timedelta

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.crash_tracking import CrashTracker
from baobabhinge_gateway.forwarding.failures import AttemptError
from baobabhinge_gateway.forwarding.fingerprints import fingerprint_call
from baobabhinge_gateway.forwarding.part_fingerprints import fingerprint_parts

# A health check, the shortest interval of two writes, and the answer of a store
# in another region take less.
LONGEST_WAIT = timedelta(milliseconds=500)
CHECK_INTERVAL = timedelta(milliseconds=5)


@asynccontextmanager
async def settle_failures(
    crashes: CrashTracker, call: Call, server: BackendServer
) -> AsyncIterator[None]:
    """Hold a failure in the context until the store has its evidence.

    Neither is the caller told of it before, nor is the request sent to another
    server. Held are failures of requests under which a server has ended before,
    or that have a part of which this holds.

    Parameters
    ----------
    crashes : CrashTracker
        Evidence on the request.
    call : Call
        Call that is sent in the context.
    server : BackendServer
        Server to which it is sent.
    """
    try:
        yield
    except AttemptError:
        if _is_suspected(crashes, call):
            await _wait_until_settled(crashes, server)
        raise


def _is_suspected(crashes: CrashTracker, call: Call) -> bool:
    history = crashes.histories.find(fingerprint_call(call))
    if history is not None and history.crashes:
        return True
    confined = crashes.parts.index.find_confined(fingerprint_parts(call))
    return confined is not None


async def _wait_until_settled(
    crashes: CrashTracker, server: BackendServer
) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(LONGEST_WAIT.total_seconds()):
            while not _is_settled(crashes, server):
                await asyncio.sleep(CHECK_INTERVAL.total_seconds())


def _is_settled(crashes: CrashTracker, server: BackendServer) -> bool:
    """Return whether it is known if the server ended, and this is stored."""
    is_known = not crashes.lost_runs.has_lost(server.name)
    return is_known and crashes.changes.is_stored
