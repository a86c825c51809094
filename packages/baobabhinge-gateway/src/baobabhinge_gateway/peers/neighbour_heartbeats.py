"""Heartbeats to neighbouring regions after a configuration change."""

from collections.abc import Iterator, Sequence
from random import Random

from mode import Service

from baobabhinge_coordination.membership import Contact, list_neighbours
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.peers.node import PeerNode

NEIGHBOUR_REGIONS = 2


class NeighbourHeartbeatService(Service):
    """Report a newer configuration to neighbouring regions at once.

    Only a gateway that watches the key-value service does so. The watchers
    of a neighbouring region may themselves be cut off from that service.

    Parameters
    ----------
    node : PeerNode
        Sends heartbeats and knows the other gateways.
    active : ActiveConfiguration
        Configuration in force, and whether this gateway watches it.
    random : Random
        Chooses the gateway of each region.
    """

    def __init__(
        self,
        node: PeerNode,
        active: ActiveConfiguration,
        random: Random,
    ) -> None:
        """Store the collaborators; nothing is sent before the start."""
        super().__init__()
        self._node = node
        self._active = active
        self._random = random

    async def on_start(self) -> None:
        """Subscribe to changes of the configuration."""
        self._active.subscribe(self._notify_neighbours)

    def _notify_neighbours(self) -> None:
        if self._active.is_watching and not self.should_stop:
            for contact in self._choose_contacts():
                self.add_future(self._node.prober.exchange_with(contact))

    def _choose_contacts(self) -> Iterator[Contact]:
        contacts = self._node.addresses.list_contacts()
        regions = {contact.region for contact in contacts}
        local_region = self._node.members.own.region
        for region in list_neighbours(local_region, regions, NEIGHBOUR_REGIONS):
            available = self._list_available(region, contacts)
            if available:
                yield self._random.choice(available)

    def _list_available(
        self,
        region: str,
        contacts: Sequence[Contact],
    ) -> Sequence[Contact]:
        """Return the gateways of a region that aren't recorded as dead."""
        table = self._node.members.table
        known = table.list_members(region)
        dead = {member.name for member in known if member.is_dead}
        return [
            contact
            for contact in contacts
            if contact.region == region and contact.name not in dead
        ]
