"""Digests by which two requests under one key are compared."""

import hashlib
from collections.abc import Iterable

from baobabhinge_coordination.runonce.keys import RunOnceKey

DIGEST_BYTES = 16
LENGTH_BYTES = 8


def compute_request_digest(key: RunOnceKey, parts: Iterable[bytes]) -> str:
    """Return the digest of a request, keyed with the random bits of ``key``.

    Nobody without the key can tell from the digest what was asked.

    Parameters
    ----------
    key : RunOnceKey
        Key that the request carries.
    parts : iterable of bytes
        Everything that makes the request this one.

    Returns
    -------
    str
        Digest in hexadecimal.
    """
    digest = hashlib.blake2b(
        key=key.nonce.encode(),
        digest_size=DIGEST_BYTES,
    )
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
