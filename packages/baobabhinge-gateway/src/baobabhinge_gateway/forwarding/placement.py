"""What each backend server would do for a call.

Load pattern: servers of unequal speed and load, and engines that have read
parts of the prompt.
"""

from collections.abc import Collection, Sequence

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call, Demand
from baobabhinge_gateway.forwarding.estimates import (
    Prospect,
    estimate_engine,
    estimate_plain,
)
from baobabhinge_gateway.forwarding.knowledge import Knowledge
from baobabhinge_gateway.forwarding.loads import ServerLoad
from baobabhinge_gateway.forwarding.prefixes import choose_keeper


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

    def list_warm(
        self,
        call: Call,
        region: str,
        tried: Collection[str] = (),
    ) -> Sequence[Prospect]:
        """Return what the warm servers of ``region`` would do for ``call``."""
        candidates = self._list_candidates(call, region, tried)
        keeper = _find_keeper(call, candidates)
        return [
            self._estimate(call, server, keeper)
            for server in candidates
            if not self._known.is_cold(server)
        ]

    def list_cold(
        self,
        call: Call,
        region: str,
        tried: Collection[str] = (),
    ) -> Sequence[Prospect]:
        """Return what the cold servers of ``region`` would do."""
        return [
            self._estimate(call, server, None)
            for server in self._list_candidates(call, region, tried)
            if self._known.is_cold(server)
        ]

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
            and server.name not in known.trust.unchecked
        ]

    def _estimate(
        self,
        call: Call,
        server: BackendServer,
        keeper: str | None,
    ) -> Prospect:
        load = self._known.loads.read(server.name)
        engine = self._known.find_engine(call.service)
        demand = call.head.demand
        if demand is None or engine is None:
            prospect = estimate_plain(server, load)
        else:
            added = self._measure(server.name, demand, keeper)
            prospect = estimate_engine(engine, server, load, added)
        return prospect.delay(self._known.trust.read_penalty(server.name))

    def _measure(
        self,
        server: str,
        demand: Demand,
        keeper: str | None,
    ) -> ServerLoad:
        cached = self._known.prefixes.count_cached(server, demand)
        if server == keeper:
            cached = count_shared(demand)
        unread = max(0, demand.prompt - cached)
        return ServerLoad(1, unread, count_memory(demand))


def count_shared(demand: Demand) -> int:
    """Return the tokens of the parts that other calls share."""
    return sum(part.tokens for part in demand.parts[:-1])


def count_memory(demand: Demand) -> int:
    """Return the tokens that a call holds, half of its output on average."""
    return demand.prompt + demand.output // 2


def _find_keeper(
    call: Call,
    candidates: Sequence[BackendServer],
) -> str | None:
    if call.head.demand is None:
        return None
    names = [server.name for server in candidates]
    return choose_keeper(call.head.demand, names)
