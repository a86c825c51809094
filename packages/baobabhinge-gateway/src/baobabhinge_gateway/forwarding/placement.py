"""Which backend server takes a call.

Load pattern: servers of unequal speed and load, engines that have read parts
of the prompt, and neighbours that have room when home has not.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from random import Random

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import (
    BackendServer,
    ConfigurationHolder,
    ServerCatalogue,
    Service,
)
from baobabhinge_gateway.errors import GatewayError
from baobabhinge_gateway.forwarding.call import Call, Demand
from baobabhinge_gateway.forwarding.estimates import (
    Prospect,
    estimate_engine,
    estimate_plain,
)
from baobabhinge_gateway.forwarding.loads import LoadTable, ServerLoad
from baobabhinge_gateway.forwarding.prefixes import PrefixHistory
from baobabhinge_gateway.forwarding.trust import ServerTrust
from baobabhinge_gateway.forwarding.warmup import WarmUpPace

# Prospects that differ by less are equal; the choice among them is random, so
# that gateways with the same stale view do not all choose one server.
TIE = timedelta(milliseconds=3)

Ranking = Callable[[Sequence[Prospect], Random], Sequence[Prospect]]
RANKINGS: dict[str, Ranking] = {}


class UnknownRankingError(GatewayError):
    """No ranking has this name."""


def register_ranking(name: str) -> Callable[[Ranking], Ranking]:
    """Return a decorator that registers a ranking under ``name``."""

    def register(ranking: Ranking) -> Ranking:
        RANKINGS[name] = ranking
        return ranking

    return register


def find_ranking(name: str) -> Ranking:
    """Return the ranking called ``name``.

    Raises
    ------
    UnknownRankingError
        If there is none; the message lists the known names.
    """
    if name not in RANKINGS:
        known = ', '.join(sorted(RANKINGS))
        raise UnknownRankingError(f'no ranking is called {name}: {known}')
    return RANKINGS[name]


@register_ranking('soonest')
def rank_soonest(
    prospects: Sequence[Prospect],
    random: Random,
) -> Sequence[Prospect]:
    """Rank by the estimated wait."""
    return sorted(
        prospects,
        key=lambda one: (one.wait // TIE, random.random()),
    )


@register_ranking('random')
def rank_random(
    prospects: Sequence[Prospect],
    random: Random,
) -> Sequence[Prospect]:
    """Rank at random."""
    return random.sample(list(prospects), len(prospects))


class Knowledge(msgspec.Struct):
    """What a gateway knows when it places a call."""

    clock: Clock
    holder: ConfigurationHolder
    catalogue: ServerCatalogue
    loads: LoadTable
    prefixes: PrefixHistory
    trust: ServerTrust
    warmup: WarmUpPace
    regions: Mapping[str, str]


class Placement:
    """Prospects of a call in each region.

    Parameters
    ----------
    knowledge : Knowledge
        What is known of servers, loads and prefixes.
    """

    __slots__ = ('_known',)

    def __init__(self, knowledge: Knowledge) -> None:
        """Keep the knowledge."""
        self._known = knowledge

    def list_prospects(
        self,
        call: Call,
        region: str,
        tried: Collection[str] = (),
    ) -> Sequence[Prospect]:
        """Return what the warm servers of ``region`` would do for ``call``."""
        known = self._known
        return [
            self._estimate(call, server)
            for server in self._list_candidates(call, region, tried)
            if not known.warmup.is_cold(server.name)
        ]

    def list_cold(
        self,
        call: Call,
        region: str,
        tried: Collection[str] = (),
    ) -> Sequence[Prospect]:
        """Return what the cold servers of ``region`` would do."""
        known = self._known
        return [
            self._estimate(call, server)
            for server in self._list_candidates(call, region, tried)
            if known.warmup.is_cold(server.name)
        ]

    def measure(self, call: Call, prospect: Prospect) -> ServerLoad:
        """Return what ``call`` adds to the load of a server."""
        demand = call.head.demand
        if demand is None:
            return ServerLoad(calls=1)
        return ServerLoad(1, prospect.unread, count_memory(demand))

    def _list_candidates(
        self,
        call: Call,
        region: str,
        tried: Collection[str],
    ) -> Sequence[BackendServer]:
        known = self._known
        return [
            server
            for server in known.catalogue.list_usable(call.service)
            if known.regions.get(server.failure_domain) == region
            and server.failure_domain not in known.holder.evacuated
            and server.name not in tried
            and known.trust.is_trusted(server.name)
        ]

    def _estimate(self, call: Call, server: BackendServer) -> Prospect:
        known = self._known
        load = known.loads.read(server.name)
        demand = call.head.demand
        service = self._find_service(call.service)
        penalty = known.trust.read_penalty(server.name)
        if demand is None or service is None or service.engine is None:
            return Prospect(server, estimate_plain(server, load) + penalty)
        cached = known.prefixes.count_cached(server.name, demand)
        unread = max(0, demand.prompt - cached)
        held = count_memory(demand)
        wait = estimate_engine(service.engine, load, unread, held)
        return Prospect(server, wait + penalty, unread)

    def _find_service(self, name: str) -> Service | None:
        revision = self._known.holder.revision
        return revision.services.get(name) if revision else None


def count_memory(demand: Demand) -> int:
    """Return the tokens that a call holds, half of its output on average."""
    return demand.prompt + demand.output // 2
