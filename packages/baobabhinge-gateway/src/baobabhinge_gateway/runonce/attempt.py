"""One attempt to run the call of a key."""

import msgspec

from baobabhinge_coordination.runonce import (
    RunOnceKey,
    compute_request_digest,
)
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.calls.bindings import render_regions


class Attempt(msgspec.Struct, frozen=True):
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


def build_attempt(key: RunOnceKey, call: Call) -> Attempt:
    """Return the attempt to run ``call`` under ``key``.

    The regions to which a call is bound belong to the request: the same text
    bound to others is another request.
    """
    regions = render_regions(call.terms.regions or frozenset())
    parts = (
        call.service.name.encode(),
        call.method.encode(),
        call.path.encode(),
        regions.encode(),
        call.body,
    )
    return Attempt(key, compute_request_digest(key, parts), call)
