"""Service that keeps the view of the fleet up to date."""

from mode import Service

from baobabhinge_coordination.clock import Clock, SystemClock
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet.own_record import build_members
from baobabhinge_gateway.fleet.polling import LoadPoller
from baobabhinge_gateway.fleet.reports import LoadReports
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_gateway.fleet.watcher import VmWatcher
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.platform import Platform
from baobabhinge_gateway.process import GatewayIdentity

SYSTEM_CLOCK = SystemClock()


class FleetService(Service):
    """Watch the list of vms and poll the load of backend servers.

    Parameters
    ----------
    identity : GatewayIdentity
        Names and addresses of this gateway.
    lifecycle : Lifecycle
        Incarnation of this gateway.
    platform : Platform
        Clients of the platform.
    active : ActiveConfiguration
        Configuration in force.
    clock : Clock, optional
        Clock by which members and reports age; the system clock by default.

    Attributes
    ----------
    identity : GatewayIdentity
        Names and addresses of this gateway.
    members : MembershipView
        Membership of the gateways.
    reports : LoadReports
        Load of the backend servers of this region.
    watcher : VmWatcher
        List of vms as last read from the platform.
    view : FleetView
        Queries over the three sources above.
    """

    def __init__(
        self,
        identity: GatewayIdentity,
        lifecycle: Lifecycle,
        platform: Platform,
        active: ActiveConfiguration,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        """Start with this gateway as the only known vm."""
        super().__init__()
        self._http = platform.http
        self.identity = identity
        self.reports = LoadReports(clock)
        self.members = build_members(identity, lifecycle, clock)
        self.watcher = VmWatcher(platform.vm_list)
        self.view = FleetView(
            Hop(identity.name, identity.region),
            self.watcher,
            self.reports,
            self.members,
            active,
        )

    async def on_start(self) -> None:
        """Start the watcher of the list of vms and the load poller."""
        await self.add_runtime_dependency(self.watcher)
        await self.add_runtime_dependency(
            LoadPoller(self._http, self.view, self.reports),
        )
