"""Choosing the target of the next attempt."""

from collections.abc import Collection, Sequence
from random import Random

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.estimates import Prospect
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_gateway.forwarding.lending import (
    Waits,
    choose_region,
    find_best_wait,
)
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.rankings import Ranking
from baobabhinge_gateway.forwarding.shedding import RETRY_AFTER, check_in_time
from baobabhinge_gateway.forwarding.surroundings import Surroundings
from baobabhinge_gateway.forwarding.targets import Target


class Chooser:
    """Choose targets from prospects.

    Parameters
    ----------
    placement : Placement
        Prospects in each region.
    surroundings : Surroundings
        Regions that may be asked.
    state : DeploymentState
        Holds the pace of cold servers.
    ranking : callable
        Order of the prospects at home.
    random : Random
        Generator of the choice among equals.
    """

    __slots__ = ('_around', '_placement', '_random', '_ranking', '_state')

    def __init__(
        self,
        placement: Placement,
        surroundings: Surroundings,
        state: DeploymentState,
        ranking: Ranking,
        random: Random,
    ) -> None:
        """Keep the parts."""
        self._placement = placement
        self._around = surroundings
        self._state = state
        self._ranking = ranking
        self._random = random

    def choose(self, call: Call, tried: Collection[str]) -> Target:
        """Return the target of the next attempt of ``call``.

        Raises
        ------
        NotServedError
            If no backend server can take it.
        """
        home = self._around.home
        prospects: Sequence[Prospect] = ()
        if call.route.allows(home):
            prospects = self._placement.list_warm(call, home, tried)
        waits = {home: find_best_wait(prospects)}
        waits.update(self._estimate_away(call, tried))
        choice = choose_region(home, waits, call.route.objective)
        if choice is None:
            return self._choose_cold(call, tried)
        check_in_time(choice, call.route.objective, self._random)
        if choice.region == home:
            return self._around.aim(self._ranking(prospects, self._random)[0])
        return self._around.aim_away(choice.region, self._random)

    def _estimate_away(
        self,
        call: Call,
        tried: Collection[str],
    ) -> Waits:
        return {
            region: find_best_wait(
                self._placement.list_warm(call, region, tried),
            )
            for region in self._around.list_away(call, tried)
        }

    def _choose_cold(self, call: Call, tried: Collection[str]) -> Target:
        home = self._around.home
        if call.route.allows(home):
            for prospect in self._placement.list_cold(call, home, tried):
                if self._may_warm(prospect):
                    self._take_turn(call, prospect)
                    return self._around.aim(prospect)
        raise NotServedError(
            f'no backend server of {call.service} takes calls now',
            RETRY_AFTER,
        )

    def _take_turn(self, call: Call, prospect: Prospect) -> None:
        rate = self._state.find_warm_up_rate(call.service)
        self._state.warmup.take(prospect.server.name, rate)

    def _may_warm(self, prospect: Prospect) -> bool:
        is_sender = self._around.is_sender(prospect.server)
        is_open = self._state.warmup.is_open(prospect.server.name)
        return is_open and is_sender
