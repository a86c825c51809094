"""Choosing the target of the next attempt."""

from collections.abc import Collection, Sequence
from random import Random

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.failures import NotServedError
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.rankings import Ranking
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.region_selection import (
    RegionWaits,
    choose_region,
    find_shortest_wait,
)
from baobabhinge_gateway.forwarding.shedding import (
    NO_SERVER_RETRY_AFTER,
    check_expected_wait,
)
from baobabhinge_gateway.forwarding.targets import Target


class TargetSelector:
    """Choose targets from prospects.

    Parameters
    ----------
    placement : Placement
        Prospects in each region.
    surroundings : RegionDirectory
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
        surroundings: RegionDirectory,
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
        estimates: Sequence[ServerEstimate] = ()
        if call.route.allows(home):
            estimates = self._placement.list_warm(call, home, tried)
        waits = {home: find_shortest_wait(estimates)}
        waits.update(self._estimate_away(call, tried))
        choice = choose_region(home, waits, call.route.objective)
        if choice is None:
            return self._choose_cold(call, tried)
        check_expected_wait(choice, call.route.objective, self._random)
        if choice.region == home:
            return self._around.create_server_target(
                self._ranking(estimates, self._random)[0]
            )
        return self._around.create_region_target(choice.region, self._random)

    def _estimate_away(
        self,
        call: Call,
        tried: Collection[str],
    ) -> RegionWaits:
        return {
            region: find_shortest_wait(
                self._placement.list_warm(call, region, tried),
            )
            for region in self._around.list_reachable_regions(call, tried)
        }

    def _choose_cold(self, call: Call, tried: Collection[str]) -> Target:
        home = self._around.home
        if call.route.allows(home):
            for estimate in self._placement.list_cold(call, home, tried):
                if self._may_warm(estimate):
                    self._take_turn(call, estimate)
                    return self._around.create_server_target(estimate)
        raise NotServedError(
            f'no backend server of {call.service} takes calls now',
            NO_SERVER_RETRY_AFTER,
        )

    def _take_turn(self, call: Call, estimate: ServerEstimate) -> None:
        rate = self._state.find_warm_up_rate(call.service)
        self._state.warmup.record_call(estimate.server.name, rate)

    def _may_warm(self, estimate: ServerEstimate) -> bool:
        is_warm_up_gateway = self._around.is_warm_up_gateway(estimate.server)
        may_send = self._state.warmup.may_send(estimate.server.name)
        return may_send and is_warm_up_gateway
