"""The gateway as one tree of services."""

from mode import Service

from baobabhinge_gateway.callers import (
    CallRoutes,
    ConnectionEnd,
    EntryReport,
    HealthReport,
    StatusReport,
    build_call_server,
)
from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.configuration import (
    ActiveConfiguration,
    build_watcher,
)
from baobabhinge_gateway.fleet import FleetService, FleetView
from baobabhinge_gateway.lifecycle import Drainer, create_lifecycle
from baobabhinge_gateway.listening import Listener
from baobabhinge_gateway.orders import DutyStack
from baobabhinge_gateway.peers import PeerStack
from baobabhinge_gateway.platform import Platform, build_http_session
from baobabhinge_gateway.process import ProcessSettings
from baobabhinge_gateway.routes import build_app


class Gateway(Service):
    """One gateway process.

    Parameters
    ----------
    settings : ProcessSettings
        Addresses, region and failure domain.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        """Start nothing yet."""
        super().__init__()
        self._settings = settings
        self._active = ActiveConfiguration()
        self._lifecycle = create_lifecycle()

    async def on_start(self) -> None:
        """Start the parts, listeners last."""
        http = await self.add_async_context(build_http_session())
        platform = Platform(http, self._settings.platform)
        fleet = await self._start_watchers(platform)
        peers = PeerStack(platform, fleet, self._lifecycle, self._active)
        await self.add_runtime_dependency(peers)
        await self.add_runtime_dependency(
            DutyStack(platform, self._active, fleet.view),
        )
        await self._start_listeners(platform, fleet.view, peers)

    async def _start_watchers(self, platform: Platform) -> FleetService:
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
        fleet: FleetView,
        peers: PeerStack,
    ) -> None:
        identity = self._settings.identity
        calls = build_call_server(
            self._active,
            fleet,
            platform,
            self._lifecycle,
        )
        end = ConnectionEnd(self._lifecycle)
        peer_app = build_app(
            [
                end,
                CallRoutes(calls, headers.FORWARD_PREFIX),
                *peers.node.routes,
            ],
        )
        caller_app = build_app(
            [
                end,
                CallRoutes(calls),
                HealthReport(self._active, self._lifecycle),
                EntryReport(fleet, self._lifecycle),
                StatusReport(fleet.home, self._active, calls.measures),
            ],
        )
        await self.add_runtime_dependency(
            Listener(peer_app, identity.peer_address),
        )
        await self.add_runtime_dependency(
            Listener(caller_app, identity.caller_address),
        )
        await self.add_runtime_dependency(Drainer(self._lifecycle))
