"""The gateway as one tree of services."""

import aiohttp
from mode import Service

from baobabhinge_coordination.generations import ReleaseReader
from baobabhinge_gateway.callers import (
    CallRoutes,
    EntryReport,
    StatusReport,
    build_call_server,
)
from baobabhinge_gateway.calls import Hop, headers
from baobabhinge_gateway.configuration import (
    ActiveConfiguration,
    ConfigurationWatcher,
)
from baobabhinge_gateway.fleet import FleetService, FleetView
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.listening import Listener
from baobabhinge_gateway.platform import Platform
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
        self._lifecycle = Lifecycle()

    async def on_start(self) -> None:
        """Start the parts, listeners last."""
        http = await self.add_async_context(
            aiohttp.ClientSession(
                auto_decompress=False,
                connector=aiohttp.TCPConnector(limit=0),
            ),
        )
        platform = Platform(http, self._settings.platform)
        fleet = await self._start_watchers(platform)
        await self._start_listeners(platform, fleet)

    async def _start_watchers(self, platform: Platform) -> FleetView:
        identity = self._settings.identity
        fleet = FleetService(Hop(identity.name, identity.region), platform)
        await self.add_runtime_dependency(fleet)
        await self.add_runtime_dependency(
            ConfigurationWatcher(self._active, ReleaseReader(platform.store)),
        )
        return fleet.view

    async def _start_listeners(
        self,
        platform: Platform,
        fleet: FleetView,
    ) -> None:
        identity = self._settings.identity
        hop = Hop(identity.name, identity.region)
        calls = build_call_server(hop, self._active, fleet, platform)
        peer_app = build_app([CallRoutes(calls, headers.FORWARD_PREFIX)])
        caller_app = build_app(
            [
                CallRoutes(calls),
                EntryReport(identity.region, fleet),
                StatusReport(hop, self._active, calls.measures),
            ],
        )
        await self.add_runtime_dependency(
            Listener(peer_app, identity.peer_address),
        )
        await self.add_runtime_dependency(
            Listener(caller_app, identity.caller_address),
        )
