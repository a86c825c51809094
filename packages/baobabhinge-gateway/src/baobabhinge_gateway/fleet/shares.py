"""Dividing backend servers among the gateways of a region.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998 (rendezvous hashing).
"""

from collections.abc import Iterable

import xxhash


def pick_owner(key: str, names: Iterable[str]) -> str:
    """Return the name to which ``key`` belongs.

    Parameters
    ----------
    key : str
        What is divided.
    names : iterable of str
        Candidates, at least one. When one leaves, only its keys move.
    """
    return max(names, key=lambda name: _weigh(key, name))


def _weigh(key: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()), name)
