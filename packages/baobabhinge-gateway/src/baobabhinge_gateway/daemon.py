"""The gateway process as one tree of services."""

from mode import Service

from baobabhinge_gateway.callers import (
    CallRoutes,
    ConnectionCloser,
    EntryReport,
    HealthReport,
    StatusReport,
    build_call_dependencies,
    build_call_server,
    build_forward_routes,
)
from baobabhinge_gateway.configuration import (
    ActiveConfiguration,
    build_watcher,
)
from baobabhinge_gateway.fleet import FleetService
from baobabhinge_gateway.lifecycle import Drainer, create_lifecycle
from baobabhinge_gateway.orders import DutyStack
from baobabhinge_gateway.peers import PeerStack
from baobabhinge_gateway.platform import Platform, build_http_session
from baobabhinge_gateway.process import ProcessSettings
from baobabhinge_gateway.route_group import RouteGroup
from baobabhinge_gateway.runonce import (
    KeyRoutes,
    RunOnceExecutor,
    RunOncePeerRoutes,
    build_run_once_service,
)
from baobabhinge_gateway.web_application import build_listener


class Gateway(Service):
    """Root service of a gateway process.

    Parameters
    ----------
    settings : ProcessSettings
        Addresses, region and failure domain of the gateway.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Draw the incarnation; services are built in `on_start`."""
        super().__init__()
        self._settings = settings
        self._active = ActiveConfiguration()
        self._lifecycle = create_lifecycle()

    async def on_start(self) -> None:
        """Start all services; the listeners last, when calls can be served."""
        http = await self.add_async_context(build_http_session())
        platform = Platform(
            http,
            self._settings.platform,
            self._settings.identity.region,
        )
        fleet = await self._start_fleet(platform)
        peers = PeerStack(platform, fleet, self._lifecycle, self._active)
        await self.add_runtime_dependency(peers)
        lease_services = DutyStack(platform, self._active, fleet.view)
        await self.add_runtime_dependency(lease_services)
        await self._start_listeners(platform, fleet, peers, lease_services)

    async def _start_fleet(self, platform: Platform) -> FleetService:
        fleet = FleetService(
            self._settings.identity,
            self._lifecycle,
            platform,
            self._active,
        )
        await self.add_runtime_dependency(fleet)
        await self.add_runtime_dependency(
            build_watcher(self._active, platform.store, fleet.view),
        )
        return fleet

    async def _start_listeners(
        self,
        platform: Platform,
        fleet: FleetService,
        peers: PeerStack,
        lease_services: DutyStack,
    ) -> None:
        run_once = build_run_once_service(
            fleet.view,
            platform,
            self._lifecycle,
            self._active,
            self._settings.identity.key_age,
        )
        await self.add_runtime_dependency(run_once)
        calls = build_call_server(
            self._active,
            fleet.view,
            platform,
            build_call_dependencies(
                self._lifecycle,
                RunOnceExecutor(run_once),
                fleet.view,
                peers.node,
            ),
        )
        identity = self._settings.identity
        await self._listen(
            identity.peer_address,
            build_forward_routes(calls),
            RunOncePeerRoutes(run_once.key_state, run_once.resolver),
            *peers.node.routes,
        )
        await self._listen(
            identity.caller_address,
            CallRoutes(calls),
            KeyRoutes(run_once, identity.region),
            HealthReport(self._active, self._lifecycle, fleet.watcher),
            EntryReport(fleet.view, self._lifecycle, self._active),
            StatusReport(
                fleet.view,
                self._active,
                calls,
                platform.transport.calls,
                lease_services.lease_client,
            ),
        )
        await self.add_runtime_dependency(Drainer(self._lifecycle))

    async def _listen(self, address: str, *route_groups: RouteGroup) -> None:
        closer = ConnectionCloser(self._lifecycle)
        listener = build_listener(address, closer, *route_groups)
        await self.add_runtime_dependency(listener)
