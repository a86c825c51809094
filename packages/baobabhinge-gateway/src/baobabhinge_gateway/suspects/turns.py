"""Turns of suspects on the engines of the region."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from datetime import timedelta

from baobabhinge_gateway.backends.silence_limits import wait_within
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.routing import Candidate


class SuspectTurns:
    """Let this gateway run one suspect at a time on each engine.

    The engines are divided among the gateways of the region: each gateway
    prefers its own, so that two seldom choose the same engine.

    Parameters
    ----------
    fleet : FleetView
        Gateways of the region and the identity of this one.
    """

    __slots__ = ('_fleet', '_turns', '_waiting')

    def __init__(self, fleet: FleetView) -> None:
        """Start without running or waiting suspects."""
        self._fleet = fleet
        self._turns: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._waiting: defaultdict[str, int] = defaultdict(int)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the local candidate with the fewest suspects, if any.

        Engines assigned to this gateway come before all others.
        """
        local = [
            candidate
            for candidate in candidates
            if not candidate.target.is_remote
        ]
        preferred = self._list_assigned(local) or local
        return min(preferred, key=self._count_suspects, default=None)

    @asynccontextmanager
    async def hold(
        self,
        engine: str,
        max_wait: timedelta,
    ) -> AsyncIterator[None]:
        """Wait for the turn of a suspect at ``engine``.

        Raises
        ------
        AnswerBrokenError
            If the turn does not come within ``max_wait``.
        """
        self._waiting[engine] += 1
        try:
            await wait_within(self._turns[engine].acquire(), max_wait)
        finally:
            self._waiting[engine] -= 1
        try:
            yield
        finally:
            self._turns[engine].release()

    def _count_suspects(self, candidate: Candidate) -> int:
        engine = candidate.target.vm.name
        return self._waiting[engine] + self._turns[engine].locked()

    def _list_assigned(self, local: Sequence[Candidate]) -> list[Candidate]:
        gateways = self._list_gateways()
        own_index = gateways.index(self._fleet.own.gateway)
        ordered = sorted(local, key=lambda one: one.target.vm.name)
        return [
            candidate
            for index, candidate in enumerate(ordered)
            if index % len(gateways) == own_index
        ]

    def _list_gateways(self) -> list[str]:
        own = self._fleet.own
        names = {vm.name for vm in self._fleet.list_gateways(own.region)}
        return sorted(names | {own.gateway})
