"""Telling other regions of a newer configuration."""

from collections.abc import Iterator, Sequence
from random import Random

from mode import Service

from baobabhinge_coordination.membership import Contact, list_neighbours
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.peers.node import PeerNode

NEIGHBOUR_REGIONS = 2


class NeighbourHeartbeatService(Service):
    """Let the watchers of a region tell the next regions at once.

    The watchers of such a region may be cut off from the key-value service.

    Parameters
    ----------
    node : PeerNode
        Parts that speak to the others.
    active : ActiveConfiguration
        Configuration in force, and whether this gateway watches it.
    random : Random
        Choice of the gateways.
    """

    def __init__(
        self,
        node: PeerNode,
        active: ActiveConfiguration,
        random: Random,
    ) -> None:
        """Tell nothing yet."""
        super().__init__()
        self._node = node
        self._active = active
        self._random = random

    async def on_start(self) -> None:
        """Tell of each newer configuration from now on."""
        self._active.subscribe(self._tell_neighbours)

    def _tell_neighbours(self) -> None:
        if self._active.is_watching and not self.should_stop:
            for contact in self._choose_contacts():
                self.add_future(self._node.prober.exchange_with(contact))

    def _choose_contacts(self) -> Iterator[Contact]:
        contacts = self._node.addresses.list_contacts()
        regions = {contact.region for contact in contacts}
        home = self._node.members.own.region
        for region in list_neighbours(home, regions, NEIGHBOUR_REGIONS):
            live = self._list_live(region, contacts)
            if live:
                yield self._random.choice(live)

    def _list_live(
        self,
        region: str,
        contacts: Sequence[Contact],
    ) -> Sequence[Contact]:
        """Return the gateways of a region that are not known to be dead."""
        table = self._node.members.table
        known = table.list_members(region)
        dead = {member.name for member in known if member.is_dead}
        return [
            contact
            for contact in contacts
            if contact.region == region and contact.name not in dead
        ]
