"""Which engine reads a prompt, and which ones copy it.

Load pattern: calls of one subject that are served by several engines, because
one alone would be late, or because their callers are in several regions.
"""

from collections.abc import Iterator, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.deployment import BackendServer, Engine
from baobabhinge_gateway.forwarding.call import Call, Demand
from baobabhinge_gateway.forwarding.deployment_state import (
    DeploymentState,
    list_available,
)
from baobabhinge_gateway.forwarding.estimates import (
    ServerEstimate,
    estimate_copy_time,
    estimate_engine,
    estimate_prefill_time,
)
from baobabhinge_gateway.forwarding.loads import ServerLoad
from baobabhinge_gateway.forwarding.prefixes import choose_prefix_engine

# Copying fewer tokens saves less than 5 ms of an engine.
LEAST_COPIED = 256
# Users pay for reading a part again only within this time (reuse-window-s of
# both deployments); a copy costs a sixth of that.
COPIED_WITHIN = timedelta(seconds=10)


class PrefixSource(msgspec.Struct, frozen=True):
    """Engine that has read the longest part of a prompt, or is to read it.

    Parameters
    ----------
    server : BackendServer
        The engine.
    tokens : int
        How much it has read; 0 if it is to be the first.
    is_local : bool
        Whether it stands in the region of this gateway.
    """

    server: BackendServer
    tokens: int = 0
    is_local: bool = True


class PromptEstimator(msgspec.Struct, frozen=True):
    """A prompt on its way to one of several engines.

    Parameters
    ----------
    demand : Demand
        The prompt.
    engine : Engine
        Size of the engines.
    reader : PrefixSource or None
        Engine from which others copy.
    """

    demand: Demand
    engine: Engine
    reader: PrefixSource | None

    def estimate(
        self,
        server: BackendServer,
        load: ServerLoad,
        cached: int,
    ) -> ServerEstimate:
        """Return what ``server``, which has ``cached`` tokens, would do."""
        copied = self._count_copied(cached)
        unread = max(0, self.demand.prompt - cached - copied)
        added = ServerLoad(1, unread, count_memory(self.demand))
        estimate = estimate_engine(self.engine, server, load, added)
        if self.reader is None:
            return estimate
        if copied:
            delay = estimate_copy_time(self.engine, copied)
            return estimate.with_copy(self.reader.server, delay)
        if not self.reader.tokens and server == self.reader.server:
            return estimate.delay_by(
                -estimate_prefill_time(self.demand.shared_tokens)
            )
        return estimate

    def _count_copied(self, cached: int) -> int:
        if self.reader is None or not self.engine.copy_rate:
            return 0
        copied = self.reader.tokens - cached
        return copied if copied >= LEAST_COPIED else 0


def find_prefix_source(
    state: DeploymentState,
    call: Call,
    candidates: Sequence[BackendServer],
) -> PrefixSource | None:
    """Return the engine from which the others copy the prompt of ``call``.

    Parameters
    ----------
    state : DeploymentState
        What is known of servers and prefixes.
    call : Call
        The call.
    candidates : sequence of BackendServer
        Engines of one region, of which one is to read what nobody has read.
    """
    demand = call.head.demand
    if demand is None or not demand.shared:
        return None
    readers = _list_readers(state, call, demand)
    longest = max(readers, key=_rank_reader, default=None)
    if longest is not None and longest.tokens:
        return longest
    keeper = choose_prefix_engine(demand, candidates)
    return PrefixSource(keeper) if keeper else None


def count_memory(demand: Demand) -> int:
    """Return the tokens that a call holds, half of its output on average."""
    return demand.prompt + demand.output // 2


def _list_readers(
    state: DeploymentState,
    call: Call,
    demand: Demand,
) -> Iterator[PrefixSource]:
    # An engine waits for a copy from a region that is cut off.
    reached = state.remote_regions.list_live() | {state.local_region}
    for server in list_available(state, call.service):
        region = state.regions.get(server.failure_domain, '')
        if region in reached and call.route.allows(region):
            read = state.prefixes.count_cached(
                server.name,
                demand,
                COPIED_WITHIN,
            )
            yield PrefixSource(server, read, region == state.local_region)


def _rank_reader(reader: PrefixSource) -> tuple[int, bool, str]:
    return reader.tokens, reader.is_local, reader.server.name
