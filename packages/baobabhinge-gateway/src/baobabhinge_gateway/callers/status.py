"""Status of this gateway."""

from collections.abc import Mapping

import msgspec
from aiohttp import web

from baobabhinge_coordination.leases import LeaseKeeper, LeaseLapsedError
from baobabhinge_coordination.membership import MemberState
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetView
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
    draining : bool
        Whether it is leaving, or operators drain it.
    leases : list of str
        Leases that it holds, with their fencing numbers.
    store_calls : dict of str to int
        Calls made to the key-value service, by role.
    gateways : dict of str to str
        State of each gateway of the region that this one knows.
    outcomes, latencies : dict
        Calls by outcome, and percentiles.
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


class StatusReport:
    """Handler of ``GET /v1/status``.

    Parameters
    ----------
    fleet : FleetView
        This gateway and the others.
    active : ActiveConfiguration
        Configuration in force.
    measures : Measures
        What has been counted.
    store_calls : mapping of str to int
        Calls made to the key-value service, by role.
    keeper : LeaseKeeper
        The lease of the region.
    """

    __slots__ = ('_active', '_fleet', '_keeper', '_measures', '_store_calls')

    def __init__(
        self,
        fleet: FleetView,
        active: ActiveConfiguration,
        measures: Measures,
        store_calls: Mapping[str, int],
        keeper: LeaseKeeper,
    ) -> None:
        """Keep the parts."""
        self._active = active
        self._fleet = fleet
        self._measures = measures
        self._store_calls = store_calls
        self._keeper = keeper

    def add_to(self, app: web.Application) -> None:
        """Add the path."""
        app.router.add_get('/v1/status', self.report_status)

    async def report_status(self, request: web.Request) -> web.Response:
        """Answer with counters and percentiles."""
        home = self._fleet.home
        states = self._fleet.roll.list_states()
        status = Status(
            home.gateway,
            home.region,
            self._active.generation,
            self._active.refusal.generation,
            [fault.render() for fault in self._active.refusal.faults],
            self._active.is_watching,
            states.get(home.gateway) == MemberState.draining.name
            or self._is_drained(home.gateway),
            self._list_leases(),
            dict(self._store_calls),
            states,
            dict(self._measures.outcomes),
            self._measures.summarize(),
        )
        return web.Response(
            body=msgspec.json.encode(status),
            content_type='application/json',
        )

    def _is_drained(self, vm: str) -> bool:
        settings = self._active.find_settings()
        return settings is not None and settings.is_drained(vm)

    def _list_leases(self) -> list[str]:
        region = self._fleet.home.region
        try:
            lease = self._keeper.require()
        except LeaseLapsedError:
            return []
        return [f'lease of {region}, fencing number {lease.fencing}']
