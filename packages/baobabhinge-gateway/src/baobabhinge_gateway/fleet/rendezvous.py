"""Rendezvous hashing of keys to names, such as vms to gateways.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998.
"""

from collections.abc import Iterable, Sequence

import xxhash


def pick_owner(key: str, names: Iterable[str]) -> str:
    """Return the name that owns ``key``.

    Parameters
    ----------
    key : str
        Key to assign.
    names : iterable of str
        Candidates, at least one. When one is removed, only its keys move.
    """
    return pick_owners(key, names, 1)[0]


def pick_owners(key: str, names: Iterable[str], count: int) -> Sequence[str]:
    """Return up to ``count`` owners of ``key``, the highest weight first."""
    ranked = sorted(names, key=lambda name: _weigh(key, name), reverse=True)
    return ranked[:count]


def _weigh(key: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()), name)
