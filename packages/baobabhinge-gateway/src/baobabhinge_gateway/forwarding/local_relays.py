"""Relays of the local region, for calls to servers that are not reached here.

Load pattern: some gateways of a region have lost their links to its servers.
"""

from collections.abc import Collection, Sequence
from datetime import timedelta
from random import Random

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.placement import Placement
from baobabhinge_gateway.forwarding.region_directory import RegionDirectory
from baobabhinge_gateway.forwarding.targets import Target

# A connection that is refused so soon may be one at this gateway alone.
QUICK_FAILURE = timedelta(milliseconds=100)


class LocalRelays:
    """Choose a gateway of the own region that reaches servers.

    A call is relayed once at most: one that a gateway has forwarded stays with
    the gateway that it came to, and one that came back is not relayed again.

    Parameters
    ----------
    placement : Placement
        Estimates for the servers.
    directory : RegionDirectory
        Other gateways.
    state : DeploymentState
        What this gateway reaches.
    random : Random
        Spreads the calls over the gateways.
    """

    __slots__ = ('_directory', '_placement', '_random', '_state')

    def __init__(
        self,
        placement: Placement,
        directory: RegionDirectory,
        state: DeploymentState,
        random: Random,
    ) -> None:
        """Store the collaborators."""
        self._placement = placement
        self._directory = directory
        self._state = state
        self._random = random

    def estimate(
        self, call: Call, tried: Collection[str]
    ) -> Sequence[ServerEstimate]:
        """Return estimates for servers that another gateway may reach.

        Empty if the call is not to be relayed, or no gateway reaches them.

        Parameters
        ----------
        call : Call
            The call.
        tried : collection of str
            Servers, gateways and regions that earlier attempts used.
        """
        if not self._may_relay(call, tried):
            return ()
        estimates = self._placement.list_warm(
            call, self._state.local_region, has_suspected=True
        )
        names = {one.server.name for one in estimates}
        return estimates if self._list_relays(names) else ()

    def create_target(self, estimates: Sequence[ServerEstimate]) -> Target:
        """Return a gateway that reaches one of these servers."""
        names = {one.server.name for one in estimates}
        return Target(
            self._random.choice(self._list_relays(names)),
            self._state.local_region,
        )

    def _may_relay(self, call: Call, tried: Collection[str]) -> bool:
        local = self._state.local_region
        if call.is_from_gateway or local in tried:
            return False
        if self._state.is_partitioned:
            return True
        age = self._state.clock.read_monotonic() - call.arrival
        unreached = self._state.reliability.reach.unreached
        has_failed = not unreached.isdisjoint(tried)
        return has_failed and age < QUICK_FAILURE

    def _list_relays(self, servers: Collection[str]) -> Sequence[str]:
        return self._directory.gateways.list_hop_addresses(
            self._state.local_region, servers=servers
        )
