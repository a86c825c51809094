"""Status report of this gateway."""

from collections.abc import Mapping

import msgspec
from aiohttp import web

from baobabhinge_coordination.leases import LeaseClient, LeaseNotHeldError
from baobabhinge_coordination.membership import MemberState
from baobabhinge_gateway.callers.call_server import CallServer
from baobabhinge_gateway.callers.status_body import GatewayStatus
from baobabhinge_gateway.callers.usage import list_limits, list_shares
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_settings.model import Settings


class StatusReport:
    """Handler of ``GET /v1/status``.

    Parameters
    ----------
    fleet : FleetView
        This gateway and the others.
    active : ActiveConfiguration
        Configuration in force.
    calls : CallServer
        Server of calls, with its counters and measures.
    store_calls : mapping of str to int
        Calls made to the key-value service, by role.
    lease_client : LeaseClient
        Client of the lease of the region.
    """

    __slots__ = ('_active', '_calls', '_fleet', '_lease_client', '_store_calls')

    def __init__(
        self,
        fleet: FleetView,
        active: ActiveConfiguration,
        calls: CallServer,
        store_calls: Mapping[str, int],
        lease_client: LeaseClient,
    ) -> None:
        """Store the sources of the report."""
        self._active = active
        self._fleet = fleet
        self._calls = calls
        self._store_calls = store_calls
        self._lease_client = lease_client

    def add_to(self, app: web.Application) -> None:
        """Add the path to ``app``."""
        app.router.add_get('/v1/status', self.report_status)

    async def report_status(self, request: web.Request) -> web.Response:
        """Answer with the body that `GatewayStatus` describes."""
        own = self._fleet.own
        settings = self._active.find_settings()
        states = self._fleet.known_gateways.list_states()
        status = GatewayStatus(
            own.gateway,
            own.region,
            self._active.generation,
            self._active.refusal.generation,
            [fault.render() for fault in self._active.refusal.faults],
            self._active.is_watching,
            states.get(own.gateway) == MemberState.draining.name
            or _is_drained(settings, own.gateway),
            self._list_leases(),
            dict(self._store_calls),
            states,
            dict(self._calls.measures.outcomes),
            self._calls.measures.summarize(),
            self._calls.measures.summarize_services(),
            self._calls.counters.decisions.summarize(),
            list_limits(self._calls.counters.quotas, settings),
            list_shares(self._calls.counters.shares, settings),
        )
        return web.Response(
            body=msgspec.json.encode(status),
            content_type='application/json',
        )

    def _list_leases(self) -> list[str]:
        region = self._fleet.own.region
        try:
            lease = self._lease_client.require()
        except LeaseNotHeldError:
            return []
        return [f'lease of {region}, fencing number {lease.fencing}']


def _is_drained(settings: Settings | None, vm: str) -> bool:
    return settings is not None and settings.is_drained(vm)
