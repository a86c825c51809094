"""Digests that stand for names of vms and models in load reports."""

import xxhash

DIGEST_BYTES = 3


def digest_name(name: str) -> bytes:
    """Return the first `DIGEST_BYTES` bytes of the 32-bit hash of a name."""
    return xxhash.xxh32_digest(name.encode())[:DIGEST_BYTES]
