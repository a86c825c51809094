"""Assembly of the services of a lease holder."""

from random import SystemRandom

from mode import Service

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_coordination.leases import LeaseClient, LeaseOptions
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.orders.client import EngineClient
from baobabhinge_gateway.orders.directory import DirectoryService
from baobabhinge_gateway.orders.lease_contender import (
    LEASE_PREFIX,
    LeaseContender,
)
from baobabhinge_gateway.orders.order_sender import OrderSender
from baobabhinge_gateway.orders.service import OrderService
from baobabhinge_gateway.platform import Platform


class DutyStack(Service):
    """All services whose work only the lease holder of the region does.

    Parameters
    ----------
    platform : Platform
        Clients of the platform.
    active : ActiveConfiguration
        Configuration in force.
    fleet : FleetView
        Known vms and the identity of this gateway.

    Attributes
    ----------
    lease_client : LeaseClient
        Client of the lease of the region.
    """

    def __init__(
        self,
        platform: Platform,
        active: ActiveConfiguration,
        fleet: FleetView,
    ) -> None:
        """Build the services; the lease is not held."""
        super().__init__()
        clock = SystemClock()
        own = fleet.own
        self.lease_client = LeaseClient(
            platform.leases.keys,
            platform.leases.sessions,
            clock,
            LeaseOptions(f'{LEASE_PREFIX}{own.region}', own.gateway),
        )
        sender = OrderSender(
            self.lease_client, EngineClient(platform.http), clock
        )
        self._services = (
            LeaseContender(self.lease_client, fleet, SystemRandom()),
            OrderService(self.lease_client, sender, active, fleet),
            DirectoryService(self.lease_client, platform.directory, fleet),
        )

    async def on_start(self) -> None:
        """Start the services in their order."""
        for service in self._services:
            await self.add_runtime_dependency(service)
