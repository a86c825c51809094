"""Settings of a gateway process that forwards calls."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.placement_policy import PlacementPolicy
from baobabhinge_gateway.forwarding.retry_budget import RetryBudgetLimits
from baobabhinge_gateway.forwarding.server_departures import DEFAULT_NOTICE
from baobabhinge_gateway.neighbours import GatewayContact
from baobabhinge_gateway.quotas.policy import QuotaPolicy

DEFAULT_MEMORY = 300_000_000
# No earlier deployment had so many connections.
DEFAULT_DESCRIPTORS = 4096
DEFAULT_STORE_WRITES = 400


class ForwardingSettings(msgspec.Struct, frozen=True):
    """Settings of a gateway process that forwards calls.

    Parameters
    ----------
    own : GatewayContact
        Name, region and heartbeat address of this gateway.
    caller_address, hop_address : str
        ``host:port`` of the listeners for callers and for other gateways.
    regions : mapping of str to str
        Region of each failure domain.
    budget : RetryBudgetLimits
        Retry budget that all gateways share.
    grace : timedelta
        Time from SIGTERM to the end of the process.
    placing : PlacementPolicy
        Policy by which calls are placed.
    notice : timedelta
        Time for which a backend server serves on after it has told of its end.
    memory : int
        Bytes that the process may use.
    quotas : QuotaPolicy
        Tolerance of the quotas of workspaces.
    max_descriptors : int
        Descriptors that the process may have open.
    store_writes_per_second : float
        Writes that the store takes from all gateways together.
    """

    own: GatewayContact
    caller_address: str
    hop_address: str
    regions: Mapping[str, str]
    budget: RetryBudgetLimits
    grace: timedelta
    placing: PlacementPolicy = PlacementPolicy()
    notice: timedelta = DEFAULT_NOTICE
    memory: int = DEFAULT_MEMORY
    quotas: QuotaPolicy = QuotaPolicy()
    max_descriptors: int = DEFAULT_DESCRIPTORS
    store_writes_per_second: float = DEFAULT_STORE_WRITES

    def list_regions(self) -> list[str]:
        """Return all regions, sorted by name."""
        return sorted(set(self.regions.values()))
