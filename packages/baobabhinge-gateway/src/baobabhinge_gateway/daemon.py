"""The gateway as one tree of services."""

import aiohttp
from mode import Service

from baobabhinge_gateway.callers import EntryReport, StatusReport
from baobabhinge_gateway.callers.app import build_caller_app, build_peer_app
from baobabhinge_gateway.callers.assembly import build_call_server
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import (
    ActiveConfiguration,
    ConfigurationWatcher,
    build_release_reader,
)
from baobabhinge_gateway.fleet import VmWatcher, build_vm_watcher
from baobabhinge_gateway.listening import Listener
from baobabhinge_gateway.process import ProcessSettings


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

    async def on_start(self) -> None:
        """Start the parts, listeners last."""
        http = await self.add_async_context(
            aiohttp.ClientSession(
                auto_decompress=False,
                connector=aiohttp.TCPConnector(limit=0),
            ),
        )
        fleet = await self._start_watchers(http)
        await self._start_listeners(http, fleet)

    async def _start_watchers(self, http: aiohttp.ClientSession) -> VmWatcher:
        platform = self._settings.platform
        fleet = build_vm_watcher(http, platform.vm_list)
        reader = build_release_reader(http, platform.key_value)
        await self.add_runtime_dependency(fleet)
        await self.add_runtime_dependency(
            ConfigurationWatcher(self._active, reader),
        )
        return fleet

    async def _start_listeners(
        self,
        http: aiohttp.ClientSession,
        fleet: VmWatcher,
    ) -> None:
        identity = self._settings.identity
        hop = Hop(identity.name, identity.region)
        calls = build_call_server(hop, self._active, fleet, http)
        entries = EntryReport(identity.region, fleet)
        status = StatusReport(hop, self._active, calls.measures)
        await self.add_runtime_dependency(
            Listener(build_peer_app(calls), identity.peer_address),
        )
        await self.add_runtime_dependency(
            Listener(
                build_caller_app(calls, entries, status),
                identity.caller_address,
            ),
        )
