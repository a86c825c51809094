"""Which gateways callers are to use."""

from datetime import timedelta

import msgspec
from aiohttp import web

from baobabhinge_gateway.fleet import FleetView

TIME_TO_LIVE = timedelta(seconds=5)


class Entry(msgspec.Struct, frozen=True):
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
    entries : list of Entry
        Gateways in the order in which to use them.
    """

    ttl_seconds: int
    entries: list[Entry]


class EntryReport:
    """Handler of ``GET /v1/entries``.

    Parameters
    ----------
    region : str
        Region of this gateway; its gateways come first.
    fleet : FleetView
        Known vms.
    """

    __slots__ = ('_fleet', '_region')

    def __init__(self, region: str, fleet: FleetView) -> None:
        """Keep the parts."""
        self._region = region
        self._fleet = fleet

    def add_to(self, app: web.Application) -> None:
        """Add the path."""
        app.router.add_get('/v1/entries', self.report)

    async def report(self, request: web.Request) -> web.Response:
        """Answer with the ranked list."""
        ranked = sorted(
            self._fleet.list_gateways(),
            key=lambda vm: (vm.region != self._region, vm.name),
        )
        entries = [
            Entry(vm.name, vm.region, vm.caller_address) for vm in ranked
        ]
        listed = EntryList(int(TIME_TO_LIVE.total_seconds()), entries)
        return web.Response(
            body=msgspec.json.encode(listed),
            content_type='application/json',
        )
