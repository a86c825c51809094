"""Dividing backend servers among the gateways of a region.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998 (rendezvous hashing).
"""

from collections.abc import Iterable, Sequence

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
    return pick_owners(key, names, 1)[0]


def pick_owners(key: str, names: Iterable[str], count: int) -> Sequence[str]:
    """Return the ``count`` names to which ``key`` belongs, the first first."""
    ranked = sorted(names, key=lambda name: _weigh(key, name), reverse=True)
    return ranked[:count]


def _weigh(key: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()), name)
