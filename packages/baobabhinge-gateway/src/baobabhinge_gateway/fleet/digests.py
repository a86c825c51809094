"""Names of loaded models, in the form in which they are told."""

import xxhash

DIGEST_BYTES = 3


def digest_name(name: str) -> bytes:
    """Return the bytes that stand for the name of a vm or model."""
    return xxhash.xxh32_digest(name.encode())[:DIGEST_BYTES]
