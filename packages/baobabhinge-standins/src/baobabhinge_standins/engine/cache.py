"""Prefix cache of an engine."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable

from baobabhinge_standins.engine.messages import CacheEventKind

PREFIX_BLOCK_CHARS = 64
DIGEST_CHARS = 16

Listener = Callable[[CacheEventKind, str], None]


class PrefixCache:
    """Digests of cached prefixes, the least recently used one first.

    Parameters
    ----------
    capacity : int
        Blocks that the cache holds.
    listener : callable
        Told of each block that is stored or evicted.
    """

    __slots__ = ('_blocks', '_capacity', '_listener')

    def __init__(self, capacity: int, listener: Listener) -> None:
        """Start cold."""
        self._capacity = capacity
        self._listener = listener
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def admit(self, digests: list[str]) -> int:
        """Cache the blocks of one prompt and return how many were cached."""
        return sum(self._touch(digest) for digest in digests)

    def _touch(self, digest: str) -> bool:
        known = digest in self._blocks
        self._blocks[digest] = None
        self._blocks.move_to_end(digest)
        if not known:
            self._listener(CacheEventKind.stored, digest)
        if len(self._blocks) > self._capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._listener(CacheEventKind.evicted, oldest)
        return known


def list_prefixes(model: str, prompt: str) -> list[str]:
    """Return the digest of each whole block with all that is before it."""
    ends = range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS)
    chain = hashlib.sha256(model.encode())
    digests = []
    for end in ends:
        start = end - PREFIX_BLOCK_CHARS
        chain.update(prompt[start:end].encode())
        digests.append(chain.hexdigest()[:DIGEST_CHARS])
    return digests
