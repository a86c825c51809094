"""Status of this gateway."""

import msgspec
from aiohttp import web

from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.telemetry import Measures
from baobabhinge_gateway.telemetry.measures import LatencySummary


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
    outcomes, latencies : dict
        Calls by outcome, and percentiles.
    """

    vm: str
    region: str
    generation: int
    refused_generation: int
    refused_faults: list[str]
    watches_manifest: bool
    outcomes: dict[str, int]
    latencies: dict[str, LatencySummary]


class StatusReport:
    """Handler of ``GET /v1/status``.

    Parameters
    ----------
    hop : Hop
        This gateway.
    active : ActiveConfiguration
        Configuration in force.
    measures : Measures
        What has been counted.
    """

    __slots__ = ('_active', '_hop', '_measures')

    def __init__(
        self,
        hop: Hop,
        active: ActiveConfiguration,
        measures: Measures,
    ) -> None:
        """Keep the parts."""
        self._hop = hop
        self._active = active
        self._measures = measures

    def add_to(self, app: web.Application) -> None:
        """Add the path."""
        app.router.add_get('/v1/status', self.report_status)

    async def report_status(self, request: web.Request) -> web.Response:
        """Answer with counters and percentiles."""
        status = Status(
            self._hop.gateway,
            self._hop.region,
            self._active.generation,
            self._active.refusal.generation,
            [fault.render() for fault in self._active.refusal.faults],
            self._active.is_watching,
            dict(self._measures.outcomes),
            self._measures.summarize(),
        )
        return web.Response(
            body=msgspec.json.encode(status),
            content_type='application/json',
        )
