"""Running suspects apart from one another."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta

from baobabhinge_gateway.backends.silence_limits import wait_within
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.routing import Candidate


class SuspectTurns:
    """At most one suspect at a time on each engine of the region.

    The engines are shared out among the gateways of the region, so that two
    gateways do not run suspects on one engine.

    Parameters
    ----------
    fleet : FleetView
        Gateways of the region.
    """

    __slots__ = ('_fleet', '_turns', '_waiting')

    def __init__(self, fleet: FleetView) -> None:
        """Start with no suspect."""
        self._fleet = fleet
        self._turns: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._waiting: defaultdict[str, int] = defaultdict(int)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the candidate with the fewest suspects, none if remote."""
        local = [
            candidate
            for candidate in candidates
            if not candidate.target.is_remote
        ]
        own = self._list_own(local) or local
        return min(own, key=self._count, default=None)

    @asynccontextmanager
    async def hold(
        self,
        engine: str,
        patience: timedelta,
    ) -> AsyncIterator[None]:
        """Wait for the turn of a suspect at ``engine``.

        Raises
        ------
        AnswerBrokenError
            If the turn does not come in time.
        """
        self._waiting[engine] += 1
        try:
            await wait_within(self._turns[engine].acquire(), patience)
        finally:
            self._waiting[engine] -= 1
        try:
            yield
        finally:
            self._turns[engine].release()

    def _count(self, candidate: Candidate) -> int:
        engine = candidate.target.vm.name
        return self._waiting[engine] + self._turns[engine].locked()

    def _list_own(self, local: Sequence[Candidate]) -> list[Candidate]:
        gateways = self._list_gateways()
        place = gateways.index(self._fleet.home.gateway)
        ordered = sorted(local, key=lambda one: one.target.vm.name)
        return [
            candidate
            for index, candidate in enumerate(ordered)
            if index % len(gateways) == place
        ]

    def _list_gateways(self) -> list[str]:
        home = self._fleet.home
        names = {vm.name for vm in self._fleet.list_gateways(home.region)}
        return sorted(names | {home.gateway})
