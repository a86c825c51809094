"""Digests under which file texts are stored."""

import hashlib


def compute_digest(text: str) -> str:
    """Return the SHA-256 digest of ``text`` in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
