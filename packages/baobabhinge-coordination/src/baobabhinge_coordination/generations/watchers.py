"""Choice of the peers that watch the key-value service for their group."""

from collections.abc import Iterable

import xxhash

WATCHERS_PER_GROUP = 2


def is_watcher(
    name: str, live: Iterable[str], count: int = WATCHERS_PER_GROUP
) -> bool:
    """Return whether the peer ``name`` holds a watch.

    The peers with the highest weights do, so that the loss of one peer moves
    at most one watch. While peers have different views of the live peers, a
    group may hold one watch more or less.

    Parameters
    ----------
    name : str
        Name of the peer in question.
    live : iterable of str
        Names of the live peers of the group, as seen by this peer.
    count : int
        Number of watches that the group holds.

    References
    ----------
    Thaler and Ravishankar, Using name-based mappings to increase hit rates,
    IEEE/ACM Transactions on Networking, 1998 (rendezvous hashing).
    """
    ranked = sorted({name, *live}, key=_compute_weight, reverse=True)
    return name in ranked[:count]


def _compute_weight(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name
