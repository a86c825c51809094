"""Digests that tell whether two requests under one key are the same."""

import hashlib
from collections.abc import Iterable

from baobabhinge_coordination.runonce.keys import RunOnceKey

DIGEST_BYTES = 16
LENGTH_BYTES = 8


def compute_request_digest(key: RunOnceKey, parts: Iterable[bytes]) -> str:
    """Return the digest of a request, keyed with the nonce of ``key``.

    Without the key, the digest reveals nothing about the request.

    Parameters
    ----------
    key : RunOnceKey
        Key that the request carries.
    parts : iterable of bytes
        All parts that distinguish the request from others, such as the path
        and the body. Each is hashed with its length in front, so that the
        boundaries between parts count too.

    Returns
    -------
    str
        Digest of 16 bytes, in hexadecimal.
    """
    digest = hashlib.blake2b(
        key=key.nonce.encode(),
        digest_size=DIGEST_BYTES,
    )
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
