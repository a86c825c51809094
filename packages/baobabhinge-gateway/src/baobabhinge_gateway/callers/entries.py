"""Ranked list of the gateways that callers are to use."""

from datetime import timedelta

import msgspec
import xxhash
from aiohttp import web

from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_platform.machines import Vm

ENTRY_LIST_TTL = timedelta(seconds=5)
MAX_CALLER_CHARS = 64


class EntryGateway(msgspec.Struct, frozen=True):
    """A gateway that callers may use."""

    vm: str
    region: str
    address: str


class EntryList(msgspec.Struct, frozen=True):
    """Gateways in order of preference.

    Parameters
    ----------
    ttl_seconds : int
        Time after which a caller has to fetch the list again, in seconds.
    entries : list of EntryGateway
        Gateways, the preferred one first.
    """

    ttl_seconds: int
    entries: list[EntryGateway]


class EntryReport:
    """Handler of ``GET /v1/entries``.

    Parameters
    ----------
    fleet : FleetView
        Known vms, and the region of this gateway.
    lifecycle : Lifecycle
        Whether this gateway is draining, and so is left out of the list.
    active : ActiveConfiguration
        Configuration in force, with the latencies between regions.
    """

    __slots__ = ('_active', '_fleet', '_lifecycle')

    def __init__(
        self,
        fleet: FleetView,
        lifecycle: Lifecycle,
        active: ActiveConfiguration,
    ) -> None:
        """Store the collaborators."""
        self._fleet = fleet
        self._lifecycle = lifecycle
        self._active = active

    def add_to(self, app: web.Application) -> None:
        """Add the path to ``app``."""
        app.router.add_get('/v1/entries', self.report_entries)

    async def report_entries(self, request: web.Request) -> web.Response:
        """Answer with the list as ranked for one caller.

        A caller is identified by the parameter ``caller`` of the query or
        else by its address.
        """
        caller = request.query.get('caller') or request.remote or ''
        ranked = self._rank_gateways(caller[:MAX_CALLER_CHARS])
        entries = [
            EntryGateway(vm.name, vm.region, vm.caller_address) for vm in ranked
        ]
        entry_list = EntryList(int(ENTRY_LIST_TTL.total_seconds()), entries)
        return web.Response(
            body=msgspec.json.encode(entry_list),
            content_type='application/json',
        )

    def _rank_gateways(self, caller: str) -> list[Vm]:
        """Return the local region first, then the others by their latency.

        Regions without a configured link come last. Gateways of equal latency
        are ordered by rendezvous hashing of the caller: callers are spread
        over them, and only those of a gateway that leaves move to another.
        """
        own = self._fleet.own
        excluded = {own.gateway} if self._lifecycle.is_draining else set()
        listed = [
            vm for vm in self._fleet.list_gateways() if vm.name not in excluded
        ]
        latencies = self._list_latencies()
        return sorted(
            listed,
            key=lambda vm: (
                latencies.get(vm.region, timedelta.max),
                _compute_weight(caller, vm),
            ),
        )

    def _list_latencies(self) -> dict[str, timedelta]:
        own = self._fleet.own.region
        settings = self._active.find_settings()
        latencies = {} if settings is None else settings.list_latencies(own)
        return latencies | {own: timedelta()}


def _compute_weight(caller: str, vm: Vm) -> int:
    return xxhash.xxh3_64_intdigest(f'{vm.name} {caller}'.encode())
