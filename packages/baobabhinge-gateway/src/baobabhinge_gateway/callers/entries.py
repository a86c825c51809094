"""Which gateways callers are to use."""

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
    """One gateway that callers may use."""

    vm: str
    region: str
    address: str


class EntryList(msgspec.Struct, frozen=True):
    """Gateways, the best one first.

    Parameters
    ----------
    ttl_seconds : int
        Time after which the list is to be asked for again, in seconds.
    entries : list of EntryGateway
        Gateways in the order in which to use them.
    """

    ttl_seconds: int
    entries: list[EntryGateway]


class EntryReport:
    """Handler of ``GET /v1/entries``.

    Parameters
    ----------
    fleet : FleetView
        Known vms; the gateways of the home region come first.
    lifecycle : Lifecycle
        Whether this gateway is leaving.
    active : ActiveConfiguration
        Tells how far other regions are.
    """

    __slots__ = ('_active', '_fleet', '_lifecycle')

    def __init__(
        self,
        fleet: FleetView,
        lifecycle: Lifecycle,
        active: ActiveConfiguration,
    ) -> None:
        """Keep the parts."""
        self._fleet = fleet
        self._lifecycle = lifecycle
        self._active = active

    def add_to(self, app: web.Application) -> None:
        """Add the path."""
        app.router.add_get('/v1/entries', self.report_entries)

    async def report_entries(self, request: web.Request) -> web.Response:
        """Answer with the list as ranked for the caller that asks."""
        named = request.query.get('caller') or request.remote or ''
        ranked = self._rank_gateways(named[:MAX_CALLER_CHARS])
        entries = [
            EntryGateway(vm.name, vm.region, vm.caller_address) for vm in ranked
        ]
        listed = EntryList(int(ENTRY_LIST_TTL.total_seconds()), entries)
        return web.Response(
            body=msgspec.json.encode(listed),
            content_type='application/json',
        )

    def _rank_gateways(self, caller: str) -> list[Vm]:
        """Return the home region first, then the others by their latency.

        Regions without a described link come last. Gateways that are equally
        far come in an order of the caller's own. Rendezvous hashing: callers
        are spread over them, and only those of a gateway that leaves move.
        """
        home = self._fleet.home
        left_out = {home.gateway} if self._lifecycle.is_draining else set()
        listed = [
            vm for vm in self._fleet.list_gateways() if vm.name not in left_out
        ]
        ways = self._list_latencies()
        return sorted(
            listed,
            key=lambda vm: (
                ways.get(vm.region, timedelta.max),
                _hash(caller, vm),
            ),
        )

    def _list_latencies(self) -> dict[str, timedelta]:
        home = self._fleet.home.region
        settings = self._active.find_settings()
        latencies = {} if settings is None else settings.list_latencies(home)
        return latencies | {home: timedelta()}


def _hash(caller: str, vm: Vm) -> int:
    return xxhash.xxh3_64_intdigest(f'{vm.name} {caller}'.encode())
