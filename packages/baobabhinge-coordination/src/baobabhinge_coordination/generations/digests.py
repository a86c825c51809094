"""Digests of file texts; a text is stored under its digest."""

import hashlib


def compute_digest(text: str) -> str:
    """Return the SHA-256 digest of ``text`` in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
