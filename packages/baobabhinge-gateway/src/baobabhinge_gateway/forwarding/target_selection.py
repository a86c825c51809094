"""Selection of the target of the next attempt of a call."""

from collections.abc import Collection, Mapping, Sequence
from random import Random

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.placement import (
    Placement,
    compute_shortest_wait,
)
from baobabhinge_gateway.forwarding.rankings import Ranking
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.region_selection import (
    choose_region,
    find_shortest_wait,
    may_forward,
)
from baobabhinge_gateway.forwarding.restricted_selection import (
    RestrictedSelector,
)
from baobabhinge_gateway.forwarding.targets import Target
from baobabhinge_gateway.shares.load_checks import check_load


class TargetSelector:
    """Select a backend server or a remote region for each attempt.

    Parameters
    ----------
    placement : Placement
        Estimates for the servers of each region.
    directory : RegionDirectory
        Regions to which calls may be forwarded.
    state : DeploymentState
        Holds the requests under which servers ended.
    ranking : callable
        Order of the servers of the local region.
    random : Random
        Generator that breaks ties and spreads load.
    """

    __slots__ = (
        '_directory',
        '_placement',
        '_random',
        '_ranking',
        '_restricted',
        '_state',
    )

    def __init__(
        self,
        placement: Placement,
        directory: RegionDirectory,
        state: DeploymentState,
        ranking: Ranking,
        random: Random,
    ) -> None:
        """Store the collaborators."""
        self._placement = placement
        self._directory = directory
        self._state = state
        self._restricted = RestrictedSelector(
            placement, directory, state, random
        )
        self._ranking = ranking
        self._random = random

    def choose(self, call: Call, tried: Collection[str]) -> Target:
        """Return the target of the next attempt of ``call``.

        Parameters
        ----------
        call : Call
            The call.
        tried : collection of str
            Servers, gateways and regions that earlier attempts used.

        Raises
        ------
        NotServedError
            If no backend server can take the call in time, or servers ended
            while they ran the same request.
        """
        self._state.crashes.check(call)
        local_region = self._directory.local_region
        relayed = self._estimate_relayed(call, tried)
        estimates = self._estimate_regions(call, tried, relayed)
        choice = choose_region(
            local_region,
            {one: find_shortest_wait(estimates[one]) for one in estimates},
            call.route.objective,
        )
        if choice is None:
            return self._restricted.choose(call, tried)
        if self._state.pace.find(call.service) is not None:
            choice = self._directory.lending.confirm(
                call, choice, self._state.clock.read_monotonic()
            )
        # A remote region is expected to rank its servers alike.
        best = self._ranking(estimates[choice.region], self._random)[0]
        check_load(call, choice, best, self._random)
        if choice.region == local_region and relayed:
            return self._restricted.relays.create_target(relayed)
        if choice.region == local_region:
            self._restricted.gate.record_send(best.server)
            return self._directory.create_server_target(best)
        return self._directory.create_region_target(
            choice.region,
            self._random,
        )

    def _estimate_regions(
        self,
        call: Call,
        tried: Collection[str],
        relayed: Sequence[ServerEstimate],
    ) -> Mapping[str, Sequence[ServerEstimate]]:
        local = self._directory.local_region
        estimates: dict[str, Sequence[ServerEstimate]] = {}
        if call.allows(local):
            estimates[local] = relayed or self._estimate(call, local, tried)
        local_wait = find_shortest_wait(estimates.get(local, ()))
        shortest = compute_shortest_wait(self._state, call)
        if may_forward(local_wait, shortest, call.route.objective):
            for region in self._directory.list_reachable_regions(call, tried):
                estimates[region] = self._estimate(call, region, tried)
        return estimates

    def _estimate_relayed(
        self, call: Call, tried: Collection[str]
    ) -> Sequence[ServerEstimate]:
        local = self._directory.local_region
        if not self._state.reliability.reach.unreached or not call.allows(
            local
        ):
            return ()
        if self._estimate(call, local, tried):
            return ()
        return self._restricted.relays.estimate(call, tried)

    def _estimate(
        self, call: Call, region: str, tried: Collection[str]
    ) -> Sequence[ServerEstimate]:
        may_send = self._restricted.gate.may_send
        return [
            estimate
            for estimate in self._placement.list_warm(call, region, tried)
            if may_send(estimate.server)
        ]
