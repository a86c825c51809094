"""Settings of a gateway process that forwards calls."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.policy import PlacingPolicy
from baobabhinge_gateway.forwarding.retries import BudgetTerms
from baobabhinge_gateway.neighbours import Contact


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Settings of a gateway process that forwards calls.

    Parameters
    ----------
    own : Contact
        Name, region and heartbeat address of this gateway.
    caller_address, hop_address : str
        ``host:port`` of the listeners for callers and for other gateways.
    regions : mapping of str to str
        Region of each failure domain.
    budget : BudgetTerms
        Retry budget that all gateways share.
    grace : timedelta
        Time from SIGTERM to the end of the process.
    placing : PlacingPolicy
        Policy by which calls are placed.
    """

    own: Contact
    caller_address: str
    hop_address: str
    regions: Mapping[str, str]
    budget: BudgetTerms
    grace: timedelta
    placing: PlacingPolicy = PlacingPolicy()

    def list_regions(self) -> list[str]:
        """Return all regions, sorted by name."""
        return sorted(set(self.regions.values()))
