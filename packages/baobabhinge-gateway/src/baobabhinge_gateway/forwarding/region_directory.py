"""Regions and their live gateways, as candidates for forwarding."""

from collections.abc import Collection, Sequence
from random import Random

from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.estimates import ServerEstimate
from baobabhinge_gateway.forwarding.gateway_listing import GatewayListing
from baobabhinge_gateway.forwarding.targets import Target
from baobabhinge_gateway.forwarding.warmup import choose_sole_sender
from baobabhinge_gateway.pace.lending import Lending


class RegionDirectory:
    """List the regions that may serve a call, and create targets in them.

    Parameters
    ----------
    own_name, local_region : str
        Name of this gateway, and its region.
    regions : sequence of str
        All regions.
    gateways : GatewayListing
        Live gateways.
    may_forward : bool, optional
        Whether calls that the local region may serve may be forwarded.

    Attributes
    ----------
    lending : Lending
        Decides whether forwarding a call gains enough.
    """

    __slots__ = (
        '_may_forward',
        'gateways',
        'lending',
        'local_region',
        'own_name',
        'regions',
    )

    def __init__(
        self,
        own_name: str,
        local_region: str,
        regions: Sequence[str],
        gateways: GatewayListing,
        *,
        may_forward: bool = True,
    ) -> None:
        """Store the collaborators."""
        self.own_name = own_name
        self.local_region = local_region
        self.regions = regions
        self.gateways = gateways
        self.lending = Lending(local_region)
        self._may_forward = may_forward

    def is_sole_sender(self, server: BackendServer) -> bool:
        """Return whether no other gateway may send to a restricted server.

        A gateway that has just started or woken does not know that.
        """
        if not self.gateways.stalls.is_settled():
            return False
        return self._choose_sole_sender(server) == self.own_name

    def find_sole_sender(self, server: BackendServer) -> Target | None:
        """Return the other gateway that alone may send to ``server``.

        ``None`` if it is this gateway, or takes no forwarded calls.
        """
        sender = self._choose_sole_sender(server)
        region = self.local_region
        addresses = self.gateways.list_hop_addresses(region, sender)
        return Target(addresses[0], region) if addresses else None

    def create_server_target(self, estimate: ServerEstimate) -> Target:
        """Return a backend server of the local region as a target."""
        return Target(estimate.server.address, self.local_region, estimate)

    def create_region_target(self, region: str, random: Random) -> Target:
        """Return a random ready gateway of ``region`` as a target."""
        addresses = self.gateways.list_hop_addresses(region)
        return Target(random.choice(addresses), region)

    def list_reachable_regions(
        self,
        call: Call,
        tried: Collection[str],
    ) -> Sequence[str]:
        """Return the remote regions to which ``call`` may be forwarded.

        A call that another gateway forwarded is not forwarded again.

        Parameters
        ----------
        call : Call
            The call.
        tried : collection of str
            Targets and regions that earlier attempts used.
        """
        must_stay = call.allows(self.local_region) and not self._may_forward
        if call.is_from_gateway or must_stay:
            return []
        return [
            region
            for region in self.regions
            if region != self.local_region
            and region not in tried
            and call.allows(region)
            and self.gateways.list_hop_addresses(region)
        ]

    def _choose_sole_sender(self, server: BackendServer) -> str:
        names = self.gateways.list_names(self.local_region)
        return choose_sole_sender(server, names)
