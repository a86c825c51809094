"""What a gateway tells of itself."""

import msgspec

from baobabhinge_gateway.admission import LimitReport, ShareReport
from baobabhinge_gateway.routing import DecisionSummary
from baobabhinge_gateway.telemetry.call_statistics import LatencySummary


class Status(msgspec.Struct, frozen=True):
    """Body of ``GET /v1/status``.

    Parameters
    ----------
    vm, region : str
        This gateway.
    generation : int
        Generation in force here; 0 before the first.
    refused_generation : int
        Newer generation that this gateway can't read; 0 for none.
    refused_faults : list of str
        Why it can't.
    watches_manifest : bool
        Whether it holds a watch on the key-value service.
    draining : bool
        Whether it is leaving, or operators drain it.
    leases : list of str
        Leases that it holds, with their fencing numbers.
    store_calls : dict of str to int
        Calls made to the key-value service, by role.
    gateways : dict of str to str
        State of each gateway of the region that this one knows.
    outcomes : dict of str to int
        Calls by outcome.
    latencies : dict of str to LatencySummary
        Percentiles of all services together, by kind.
    latencies_by_service : dict of str to dict of str to LatencySummary
        Percentiles by service and kind.
    decisions : DecisionSummary
        Where calls that may be repeated were sent, and why.
    limits : list of LimitReport
        Operators' limits in force, and how much of them is in use.
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
