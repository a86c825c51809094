"""Cached prefixes: which engines have prefilled which parts of prompts.

Load pattern: many calls whose prompts share long prefixes. An engine that has
a prefix cached, or can copy it from one that has, answers sooner.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from datetime import timedelta

import msgspec
import xxhash

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import BackendServer, Route
from baobabhinge_gateway.forwarding.call import Call, Demand
from baobabhinge_gateway.forwarding.fitting import select_fitting

# Engines evict the least recently used parts; a part without a request for
# this long is assumed to be evicted.
RETENTION = timedelta(seconds=60)
# Bounds the memory: 20,000 entries take about 4 MB.
MAX_ENTRIES = 20_000
# Remote regions receive only prefixes that take longer to prefill than to
# send: 1,000 tokens take 18 ms of an engine; an entry has about 40 bytes.
MIN_REMOTE_TOKENS = 1000
# Entries in one heartbeat; together with the loads they fit into one packet.
MAX_ENTRIES_PER_HEARTBEAT = 16
MAX_BYTES_PER_HEARTBEAT = 640


class CachedPrefix(msgspec.Struct, array_like=True, frozen=True):
    """Shared parts of a prompt that one engine prefills and then caches.

    Parameters
    ----------
    server : str
        Name of the engine.
    parts : tuple of str
        Names of the parts in order.
    """

    server: str
    parts: tuple[str, ...]


class PrefixHistory:
    """Parts that engines prefilled lately, as reported by all gateways.

    Parameters
    ----------
    clock : Clock
        Timestamps the entries.
    """

    __slots__ = ('_clock', '_last_used')

    def __init__(self, clock: Clock) -> None:
        """Start without entries."""
        self._clock = clock
        self._last_used: OrderedDict[tuple[str, str], timedelta] = OrderedDict()

    def record(self, prefix: CachedPrefix) -> None:
        """Record that an engine uses the parts of ``prefix`` now.

        The least recently used entries are evicted above `MAX_ENTRIES`.
        """
        now = self._clock.read_monotonic()
        for part in prefix.parts:
            key = (prefix.server, part)
            self._last_used[key] = now
            self._last_used.move_to_end(key)
        while len(self._last_used) > MAX_ENTRIES:
            self._last_used.popitem(last=False)

    def count_cached(
        self,
        server: str,
        demand: Demand,
        within: timedelta = RETENTION,
    ) -> int:
        """Return the tokens of the prefix of ``demand`` cached by ``server``.

        Parameters
        ----------
        server : str
            Name of the engine.
        demand : Demand
            Prompt of a call.
        within : timedelta, optional
            Longest time since the last use of each part.
        """
        shared = demand.shared
        if not shared or (server, shared[0].name) not in self._last_used:
            return 0
        oldest = self._clock.read_monotonic() - within
        cached = 0
        for part in shared:
            last_used = self._last_used.get((server, part.name))
            if last_used is None or last_used < oldest:
                break
            cached += part.tokens
        return cached


class PrefixAnnouncements:
    """Prefixes to report to the gateways of each region.

    Parameters
    ----------
    local_region : str
        Region of this gateway.
    regions : sequence of str
        All regions.

    Notes
    -----
    Names of parts are sent only to regions that may serve their calls.
    """

    __slots__ = ('_local_region', '_pending')

    def __init__(self, local_region: str, regions: Sequence[str]) -> None:
        """Start without pending prefixes."""
        self._local_region = local_region
        self._pending: dict[str, deque[CachedPrefix]] = {
            region: deque(maxlen=MAX_ENTRIES_PER_HEARTBEAT)
            for region in regions
        }

    def add(
        self,
        prefix: CachedPrefix,
        bound: Route | Call,
        shared_tokens: int,
    ) -> None:
        """Queue a prefix for the regions that may use it.

        The oldest pending prefix of a region is dropped when its queue is
        full.

        Parameters
        ----------
        prefix : CachedPrefix
            The prefix.
        bound : Route or Call
            Says which regions may serve its call.
        shared_tokens : int
            Length of the prefix in tokens.
        """
        for region, pending in self._pending.items():
            is_useful = (
                region == self._local_region
                or shared_tokens >= MIN_REMOTE_TOKENS
            )
            if is_useful and bound.allows(region):
                pending.append(prefix)

    def drain(self, region: str) -> Sequence[CachedPrefix]:
        """Return and remove the prefixes pending for ``region``.

        The latest ones that fit into `MAX_BYTES_PER_HEARTBEAT` are returned, as
        callers choose the number of parts and their names.
        """
        pending = self._pending.get(region, deque())
        latest = select_fitting(reversed(pending), MAX_BYTES_PER_HEARTBEAT)
        pending.clear()
        return tuple(reversed(latest))


def choose_prefix_engine(
    demand: Demand,
    servers: Sequence[BackendServer],
) -> BackendServer | None:
    """Return the engine that is to prefill a prefix that none has cached.

    Parameters
    ----------
    demand : Demand
        Prompt of a call; prompts with the same last shared part get the same
        engine.
    servers : sequence of BackendServer
        Engines of one region.

    Notes
    -----
    Rendezvous hashing: gateways that list the same engines agree without
    messages.
    """
    if not demand.shared or not servers:
        return None
    prefix_name = demand.shared[-1].name
    return max(
        servers,
        key=lambda server: xxhash.xxh3_64_intdigest(
            f'{prefix_name}/{server.name}'.encode(),
        ),
    )
