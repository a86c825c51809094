"""Choice of the engine that prefills a prefix, and of those that copy it.

Load pattern: calls with the same prefix that several engines serve, because
one engine would be late, or because the callers are in several regions.
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
from baobabhinge_gateway.forwarding.engine_timing import (
    estimate_copy_time,
    estimate_prefill_time,
    is_long_answer,
)
from baobabhinge_gateway.forwarding.estimates import (
    ServerEstimate,
    estimate_engine,
)
from baobabhinge_gateway.forwarding.prefixes import choose_prefix_engine
from baobabhinge_gateway.forwarding.server_load import (
    LEAST_URGENT,
    ServerLoad,
    build_prompt_load,
)

# Copying fewer tokens saves less than 5 ms of an engine.
MIN_COPIED_TOKENS = 256
# A repeated prefill of a part costs users extra only within this time after the
# previous one (reuse-window-s of both deployments); a copy costs a sixth of it.
SOURCE_MAX_AGE = timedelta(seconds=10)


class PrefixSource(msgspec.Struct, frozen=True):
    """Engine with the longest cached prefix, or chosen to prefill it.

    Parameters
    ----------
    server : BackendServer
        The engine.
    tokens : int
        Length of its cached prefix; 0 if it is to prefill it.
    is_local : bool
        Whether the engine is in the local region.
    """

    server: BackendServer
    tokens: int = 0
    is_local: bool = True


class PromptEstimator(msgspec.Struct, frozen=True):
    """Estimate the wait for a prompt on each of several engines.

    Parameters
    ----------
    demand : Demand
        The prompt.
    engine : Engine
        Capacity of the engines.
    source : PrefixSource or None
        Engine from which the others copy the prefix.
    priority : int
        Priority of the call; 0 is the most urgent.
    limit : timedelta
        Time limit of the answer.
    added : dict of int to ServerLoad
        Loads that the prompt adds, by the tokens to prefill: most engines have
        the same tokens cached.
    """

    demand: Demand
    engine: Engine
    source: PrefixSource | None
    priority: int = LEAST_URGENT
    limit: timedelta = timedelta.max
    added: dict[int, ServerLoad] = msgspec.field(default_factory=dict)

    def estimate(
        self,
        server: BackendServer,
        load: ServerLoad,
        cached: int,
    ) -> ServerEstimate:
        """Return the estimate for one engine.

        Parameters
        ----------
        server : BackendServer
            The engine.
        load : ServerLoad
            Its current load.
        cached : int
            Tokens of the prompt that it has cached.
        """
        copied = self._count_copied(cached)
        unread = max(0, self.demand.prompt - cached - copied)
        added = self.added.get(unread) or self._build_load(unread)
        estimate = estimate_engine(
            self.engine, server, load, added, self.priority
        )
        if self.source is None:
            return estimate
        if copied:
            delay = estimate_copy_time(self.engine, copied)
            return estimate.with_copy(self.source.server, delay)
        if not self.source.tokens and server == self.source.server:
            return estimate.delay_by(
                -estimate_prefill_time(self.demand.shared_tokens),
            )
        return estimate

    def _build_load(self, unread: int) -> ServerLoad:
        added = build_prompt_load(
            unread,
            count_memory(self.demand),
            self.priority,
            is_long=is_long_answer(self.demand, self.limit),
        )
        self.added[unread] = added
        return added

    def _count_copied(self, cached: int) -> int:
        if self.source is None or not self.engine.copy_rate:
            return 0
        copied = self.source.tokens - cached
        return copied if copied >= MIN_COPIED_TOKENS else 0


class PromptEstimators:
    """Estimate the wait for the prompt of one call on several engines.

    Parameters
    ----------
    state : DeploymentState
        Prefixes that the engines have cached.
    call : Call
        The call, which has a demand.
    engine : Engine
        Capacity of the engines.
    source : PrefixSource or None
        Engine from which the others copy the prefix.
    """

    __slots__ = ('_alone', '_copying', '_prefixes')

    def __init__(
        self,
        state: DeploymentState,
        call: Call,
        engine: Engine,
        source: PrefixSource | None,
    ) -> None:
        """Prepare the estimates with the source and without it."""
        self._prefixes = state.prefixes
        assert call.head.demand is not None
        self._alone = PromptEstimator(
            call.head.demand, engine, None, call.priority, call.route.time_limit
        )
        self._copying = msgspec.structs.replace(self._alone, source=source)

    def estimate(
        self, server: BackendServer, load: ServerLoad
    ) -> ServerEstimate:
        """Return the estimate for one engine under its current load."""
        source = choose_source(self._copying.source, server)
        estimator = self._alone if source is None else self._copying
        demand = estimator.demand
        cached = self._prefixes.count_cached(server.name, demand)
        return estimator.estimate(server, load, cached)


def find_prefix_source(
    state: DeploymentState,
    call: Call,
    candidates: Sequence[BackendServer],
) -> PrefixSource | None:
    """Return the engine from which others copy the prefix of ``call``.

    Parameters
    ----------
    state : DeploymentState
        Servers and cached prefixes.
    call : Call
        The call.
    candidates : sequence of BackendServer
        Engines of one region; one of them is to prefill a prefix that no
        engine has cached.
    """
    demand = call.head.demand
    if demand is None or not demand.shared:
        return None
    sources = _list_sources(state, call, demand)
    longest = max(
        sources,
        key=lambda one: (one.tokens, one.is_local, one.server.name),
        default=None,
    )
    if longest is not None and longest.tokens:
        return longest
    first_engine = choose_prefix_engine(demand, candidates)
    return PrefixSource(first_engine) if first_engine else None


def choose_source(
    source: PrefixSource | None, server: BackendServer
) -> PrefixSource | None:
    """Return the source if ``server`` may copy from it, else ``None``.

    What servers with different versions of the software keep does not fit.
    """
    if source is None or source.server.software != server.software:
        return None
    return source


def count_memory(demand: Demand) -> int:
    """Return the average tokens of a call: its prompt and half the output."""
    return demand.prompt + demand.output // 2


def _list_sources(
    state: DeploymentState,
    call: Call,
    demand: Demand,
) -> Iterator[PrefixSource]:
    # An engine waits in vain for a copy from an unreachable region.
    reachable = state.remote_regions.list_live() | {state.local_region}
    for server in list_available(state, call.service):
        region = state.regions.get(server.failure_domain, '')
        if region in reachable and call.allows(region):
            cached = state.prefixes.count_cached(
                server.name,
                demand,
                SOURCE_MAX_AGE,
            )
            yield PrefixSource(server, cached, region == state.local_region)
