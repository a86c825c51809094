"""Body of the status report."""

import msgspec

from baobabhinge_gateway.admission import LimitReport, ShareReport
from baobabhinge_gateway.routing import DecisionSummary
from baobabhinge_gateway.telemetry.call_statistics import LatencySummary


class GatewayStatus(msgspec.Struct, frozen=True):
    """Body of ``GET /v1/status``.

    Parameters
    ----------
    vm, region : str
        Name and region of this gateway.
    generation : int
        Generation in force at this gateway; 0 before the first.
    refused_generation : int
        Newer generation that this gateway refused for its faults; 0 for
        none.
    refused_faults : list of str
        Faults of that generation.
    watches_manifest : bool
        Whether it watches the manifest in the key-value service.
    draining : bool
        Whether it is draining, by itself or by the settings of operators.
    leases : list of str
        Leases that it holds, with their fencing numbers.
    store_calls : dict of str to int
        Calls made to the key-value service, by role.
    gateways : dict of str to str
        State of each known gateway of the region, by name.
    outcomes : dict of str to int
        Calls by outcome.
    latencies : dict of str to LatencySummary
        Percentiles over all services, by kind of latency.
    latencies_by_service : dict of str to dict of str to LatencySummary
        Percentiles by service and kind of latency.
    decisions : DecisionSummary
        Routing decisions for repeatable calls, and their reasons.
    limits : list of LimitReport
        Operators' limits in force and their current use.
    shares : list of ShareReport
        Calls in flight by service and workspace.
    """

    vm: str
    region: str
    generation: int
    refused_generation: int
    refused_faults: list[str]
    watches_manifest: bool
    draining: bool
    leases: list[str]
    store_calls: dict[str, int]
    gateways: dict[str, str]
    outcomes: dict[str, int]
    latencies: dict[str, LatencySummary]
    latencies_by_service: dict[str, dict[str, LatencySummary]]
    decisions: DecisionSummary
    limits: list[LimitReport]
    shares: list[ShareReport]
