"""Regions around a gateway, and the gateways in them."""

from collections.abc import Sequence

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.protocols import GatewayListing


class Surroundings:
    """Regions that may be asked to serve a call.

    Parameters
    ----------
    own_name, home : str
        This gateway and its region.
    regions : sequence of str
        All regions.
    gateways : GatewayListing
        Live gateways.
    """

    __slots__ = ('gateways', 'home', 'own_name', 'regions')

    def __init__(
        self,
        own_name: str,
        home: str,
        regions: Sequence[str],
        gateways: GatewayListing,
    ) -> None:
        """Keep the parts."""
        self.own_name = own_name
        self.home = home
        self.regions = regions
        self.gateways = gateways

    def list_away(self, call: Call) -> Sequence[str]:
        """Return the other regions that may serve and can be reached."""
        if call.is_lent:
            return []
        return [
            region
            for region in self.regions
            if region != self.home
            and call.route.allows(region)
            and self.gateways.list_addresses(region)
        ]
