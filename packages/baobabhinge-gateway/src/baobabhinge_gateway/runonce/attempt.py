"""Attempts to run the call of a run-once key."""

import msgspec

from baobabhinge_coordination.runonce import (
    RunOnceKey,
    compute_request_digest,
)
from baobabhinge_gateway.calls import Call


class RunOnceAttempt(msgspec.Struct, frozen=True):
    """A call with its run-once key.

    Parameters
    ----------
    key : RunOnceKey
        Key under which the call runs at most once.
    digest : str
        Digest that is the same for each attempt with the same request.
    call : Call
        Call to run.
    """

    key: RunOnceKey
    digest: str
    call: Call


def build_attempt(key: RunOnceKey, call: Call) -> RunOnceAttempt:
    """Return the attempt to run ``call`` under ``key``.

    The digest leaves out headers and regions: a retry may arrive through
    another gateway and under newer settings.
    """
    request_parts = (
        call.service.name.encode(),
        call.method.encode(),
        call.path.encode(),
        call.body,
    )
    return RunOnceAttempt(key, compute_request_digest(key, request_parts), call)
