"""Which peers of a group hold a watch on the key-value service."""

from collections.abc import Iterable

import xxhash

WATCHERS_PER_GROUP = 2


def is_watcher(
    name: str, live: Iterable[str], count: int = WATCHERS_PER_GROUP
) -> bool:
    """Tell whether the peer called ``name`` holds a watch.

    The peers with the highest weights do, so that each loss moves one watch
    only. Peers with different views of who is live may hold one watch more or
    less for a while.

    Parameters
    ----------
    name : str
        Name of the peer that asks.
    live : iterable of str
        Names of the live peers of the group, as seen by the one that asks.
    count : int
        Number of watches that the group holds.

    References
    ----------
    Thaler and Ravishankar, Using name-based mappings to increase hit rates,
    IEEE/ACM Transactions on Networking, 1998 (rendezvous hashing).
    """
    ranked = sorted({name, *live}, key=_weigh, reverse=True)
    return name in ranked[:count]


def _weigh(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name
