"""Fingerprints of parts of prompts, and of the runs that prove them sound."""

from collections.abc import Sequence
from hashlib import blake2b

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.fingerprints import (
    DIGEST_BYTES,
    create_digest,
    update_digest,
)


def fingerprint_parts(call: Call) -> Sequence[str]:
    """Return digests of the parts of the prompt that single calls share.

    Left out are the first part, which all calls of a route may share, and the
    last one, which belongs to the call itself. Like that of a request, a digest
    differs between calls that may be served in different regions. They are
    computed once for each call.
    """
    if call.part_fingerprints is None:
        parts = call.head.demand.inner if call.head.demand else ()
        names = dict.fromkeys(part.name for part in parts)
        call.part_fingerprints = tuple(
            _compute_digest(call, name) for name in names
        )
    return call.part_fingerprints


def fingerprint_attempt(call: Call) -> str:
    """Return a digest of the identity of an attempt, of the length of others.

    Callers choose identities, which may be long.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    update_digest(digest, call.head.attempt)
    return digest.hexdigest()


def _compute_digest(call: Call, name: str) -> str:
    digest = create_digest(call)
    update_digest(digest, name)
    return digest.hexdigest()
