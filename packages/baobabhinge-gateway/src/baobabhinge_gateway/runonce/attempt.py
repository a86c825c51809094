"""One attempt to run the call of a key."""

import msgspec

from baobabhinge_coordination.runonce import (
    RunOnceKey,
    compute_request_digest,
)
from baobabhinge_gateway.calls import Call


class RunOnceAttempt(msgspec.Struct, frozen=True):
    """A call with its key.

    Parameters
    ----------
    key : RunOnceKey
        The key.
    digest : str
        Digest of what makes the request this one.
    call : Call
        The call.
    """

    key: RunOnceKey
    digest: str
    call: Call


def build_attempt(key: RunOnceKey, call: Call) -> RunOnceAttempt:
    """Return the attempt to run ``call`` under ``key``.

    Headers and regions are left out: a repeat may come through another gateway,
    under newer rules.
    """
    parts = (
        call.service.name.encode(),
        call.method.encode(),
        call.path.encode(),
        call.body,
    )
    return RunOnceAttempt(key, compute_request_digest(key, parts), call)
