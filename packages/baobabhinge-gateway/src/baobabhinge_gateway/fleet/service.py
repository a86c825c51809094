"""The services that keep the view of the fleet up to date."""

from mode import Service

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.fleet.polling import LoadPoller
from baobabhinge_gateway.fleet.reports import LoadReports
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_gateway.fleet.watcher import VmWatcher
from baobabhinge_gateway.platform import Platform


class FleetService(Service):
    """Watch the list of vms and poll the load of backend servers.

    Parameters
    ----------
    home : Hop
        This gateway.
    platform : Platform
        Clients of the platform.

    Attributes
    ----------
    view : FleetView
        What is known.
    """

    def __init__(self, home: Hop, platform: Platform) -> None:
        """Know nothing yet."""
        super().__init__()
        self._http = platform.http
        self._watcher = VmWatcher(platform.vm_list)
        self._reports = LoadReports(SystemClock())
        self.view = FleetView(home, self._watcher, self._reports)

    async def on_start(self) -> None:
        """Start the parts."""
        await self.add_runtime_dependency(self._watcher)
        await self.add_runtime_dependency(
            LoadPoller(self._http, self.view, self._reports),
        )
