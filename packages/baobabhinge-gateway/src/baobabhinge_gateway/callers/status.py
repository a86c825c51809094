"""Status of this gateway."""

import msgspec
from aiohttp import web

from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.telemetry import Measures
from baobabhinge_gateway.telemetry.measures import LatencySummary


class Status(msgspec.Struct, frozen=True):
    """Body of ``GET /v1/status``."""

    vm: str
    region: str
    generation: int
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
            dict(self._measures.outcomes),
            self._measures.summarize(),
        )
        return web.Response(
            body=msgspec.json.encode(status),
            content_type='application/json',
        )
