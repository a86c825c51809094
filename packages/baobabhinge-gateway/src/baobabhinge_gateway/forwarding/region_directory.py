"""Regions around a gateway, and the gateways in them."""

from collections.abc import Collection, Sequence
from random import Random

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.protocols import GatewayListing
from baobabhinge_gateway.forwarding.targets import Target
from baobabhinge_gateway.forwarding.warmup import choose_warm_up_gateway


class RegionDirectory:
    """Regions that may be asked to serve a call.

    Parameters
    ----------
    own_name, home : str
        This gateway and its region.
    regions : sequence of str
        All regions.
    gateways : GatewayListing
        Live gateways.
    may_forward : bool, optional
        Whether calls may leave a home that could serve them.
    """

    __slots__ = ('_is_lending', 'gateways', 'home', 'own_name', 'regions')

    def __init__(
        self,
        own_name: str,
        home: str,
        regions: Sequence[str],
        gateways: GatewayListing,
        *,
        may_forward: bool = True,
    ) -> None:
        """Keep the parts."""
        self.own_name = own_name
        self.home = home
        self.regions = regions
        self.gateways = gateways
        self._is_lending = may_forward

    def is_warm_up_gateway(self, server: BackendServer) -> bool:
        """Whether this gateway alone may send to a cold ``server``."""
        names = self.gateways.list_names(self.home)
        return choose_warm_up_gateway(server, names) == self.own_name

    def create_server_target(self, estimate: ServerEstimate) -> Target:
        """Return a backend server of the own region as a target."""
        return Target(estimate.server.address, self.home, estimate)

    def create_region_target(self, region: str, random: Random) -> Target:
        """Return a gateway of another region as a target."""
        addresses = self.gateways.list_addresses(region)
        return Target(random.choice(addresses), region)

    def list_reachable_regions(
        self, call: Call, tried: Collection[str]
    ) -> Sequence[str]:
        """Return the other regions that may serve and can be reached.

        Parameters
        ----------
        call : Call
            The call.
        tried : collection of str
            Targets and regions that have been asked.
        """
        is_bound_here = call.route.allows(self.home) and not self._is_lending
        if call.is_from_gateway or is_bound_here:
            return []
        return [
            region
            for region in self.regions
            if region != self.home
            and region not in tried
            and call.route.allows(region)
            and self.gateways.list_addresses(region)
        ]
