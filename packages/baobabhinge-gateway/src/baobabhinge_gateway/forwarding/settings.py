"""Settings of the gateway for forwarded calls."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.placement_policy import PlacementPolicy
from baobabhinge_gateway.forwarding.retry_budget import RetryBudgetLimits
from baobabhinge_gateway.neighbours import GatewayContact


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Settings of the gateway for forwarded calls.

    Parameters
    ----------
    own : GatewayContact
        Name, region, and address for heartbeats.
    caller_address, hop_address : str
        ``host:port`` for callers and for other gateways.
    regions : mapping of str to str
        Region of each failure domain.
    budget : RetryBudgetLimits
        Retry budget of all gateways together.
    grace : timedelta
        Time from SIGTERM to the end.
    placing : PlacementPolicy
        How calls are placed.
    """

    own: GatewayContact
    caller_address: str
    hop_address: str
    regions: Mapping[str, str]
    budget: RetryBudgetLimits
    grace: timedelta
    placing: PlacementPolicy = PlacementPolicy()

    def list_regions(self) -> list[str]:
        """Return all regions in the order of their names."""
        return sorted(set(self.regions.values()))
