"""Putting together what speaks to the other gateways."""

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
    """Everything by which this gateway acts together with the others.

    Parameters
    ----------
    platform : Platform
        Clients of the platform.
    fleet : FleetService
        What is known about the fleet.
    lifecycle : Lifecycle
        Whether this gateway is leaving.
    active : ActiveConfiguration
        Configuration in force.

    Attributes
    ----------
    node : PeerNode
        Its ``parts`` take more payloads, its ``routes`` go to the listener.
    """

    def __init__(
        self,
        platform: Platform,
        fleet: FleetService,
        lifecycle: Lifecycle,
        active: ActiveConfiguration,
    ) -> None:
        """Send nothing yet."""
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
        self._parts = (
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
        """Start the parts."""
        for part in self._parts:
            await self.add_runtime_dependency(part)
