"""Assembly of the services that communicate with other gateways."""

from random import SystemRandom

from mode import Service

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetService, LoadReportPart
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.peers import neighbour_heartbeats, urgent_heartbeats
from baobabhinge_gateway.peers.node import PeerNode
from baobabhinge_gateway.peers.periodic_heartbeats import (
    PeriodicHeartbeatService,
)
from baobabhinge_gateway.peers.releases import ReleaseFetcher
from baobabhinge_gateway.peers.vm_lists import VmListFetcher
from baobabhinge_gateway.platform import Platform


class PeerStack(Service):
    """All services that exchange messages with other gateways.

    Parameters
    ----------
    platform : Platform
        Clients of the platform.
    fleet : FleetService
        Known vms, members and load reports.
    lifecycle : Lifecycle
        Tells whether this gateway is draining.
    active : ActiveConfiguration
        Configuration in force.

    Attributes
    ----------
    node : PeerNode
        Further heartbeat payloads are added to its ``parts``; its ``routes``
        are served by the listener.
    """

    def __init__(
        self,
        platform: Platform,
        fleet: FleetService,
        lifecycle: Lifecycle,
        active: ActiveConfiguration,
    ) -> None:
        """Build the services; nothing is sent before the start."""
        super().__init__()
        random = SystemRandom()
        self.node = PeerNode(
            platform.http,
            fleet,
            active,
            SystemClock(),
            random,
        )
        self.node.parts.add(LoadReportPart(fleet.view, fleet.reports))
        active.subscribe(self.node.parts.urgent.set)
        client = self.node.client
        self._services = (
            ReleaseFetcher(client, active, self.node.parts),
            urgent_heartbeats.UrgentHeartbeatService(
                self.node, lifecycle, random
            ),
            neighbour_heartbeats.NeighbourHeartbeatService(
                self.node, active, random
            ),
            PeriodicHeartbeatService(self.node, random),
            VmListFetcher(client, fleet.watcher, fleet.members, random),
        )

    async def on_start(self) -> None:
        """Start the services in their order."""
        for service in self._services:
            await self.add_runtime_dependency(service)
