"""Choice of the heartbeat that each gateway gets, and of those passed on."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from random import Random

import msgspec

from baobabhinge_gateway.neighbours.batches import Address
from baobabhinge_gateway.neighbours.messages import (
    Heartbeat,
    HeartbeatBundle,
)
from baobabhinge_gateway.neighbours.relaying import (
    RelayQueue,
    choose_receivers,
)
from baobabhinge_gateway.neighbours.table import (
    GatewayContact,
    GatewayTable,
    group_by_region,
)

HeartbeatComposer = Callable[[int, str], Heartbeat]
Sending = tuple[Heartbeat | HeartbeatBundle, Sequence[Address]]


class HeartbeatPlan:
    """Choose what is sent to whom in one interval.

    Parameters
    ----------
    table : GatewayTable
        Contacts of the other gateways.
    compose : callable
        Returns the heartbeat with a sequence number for a region.
    random : Random
        Chooses gateways of other regions.

    Attributes
    ----------
    relays : RelayQueue
        Heartbeats of other regions that this gateway is to pass on.
    """

    __slots__ = ('_compose', '_random', '_table', 'relays')

    def __init__(
        self, table: GatewayTable, compose: HeartbeatComposer, random: Random
    ) -> None:
        """Start with nothing to pass on."""
        self._table = table
        self._compose = compose
        self._random = random
        self.relays = RelayQueue()

    def compose_local(self, sequence: int) -> Heartbeat:
        """Return the heartbeat with a number for the own region."""
        return self._compose(sequence, self._table.own.region)

    def iterate_due(
        self, local: Heartbeat, *, has_remote: bool
    ) -> Iterator[Sending]:
        """Iterate over messages and the gateways that get them.

        Parameters
        ----------
        local : Heartbeat
            Heartbeat for the own region.
        has_remote : bool
            Whether gateways of other regions are due.
        """
        groups = group_by_region(self._table.contacts.values())
        for region, contacts in groups.items():
            if region == self._table.own.region:
                yield from self._iterate_local(local, contacts)
            elif has_remote:
                yield from self._choose_remote(local.sequence, region, contacts)

    def _iterate_local(
        self, heartbeat: Heartbeat, contacts: Sequence[GatewayContact]
    ) -> Iterator[Sending]:
        bundles = self.relays.drain(heartbeat)
        if bundles == [[heartbeat]]:
            yield heartbeat, _list_addresses(contacts)
            return
        readers = self._list_relays(heartbeat.region)
        yield (
            heartbeat,
            _list_addresses(one for one in contacts if one.name not in readers),
        )
        for bundle in bundles:
            yield (
                HeartbeatBundle(bundle),
                _list_addresses(one for one in contacts if one.name in readers),
            )

    def _choose_remote(
        self, sequence: int, region: str, contacts: Sequence[GatewayContact]
    ) -> Iterator[Sending]:
        receivers = choose_receivers(
            contacts, self._list_relays(region), self._random
        )
        heartbeat = self._compose(sequence, region)
        yield heartbeat, _list_addresses(receivers.direct)
        relayed = msgspec.structs.replace(heartbeat, is_to_relay=True)
        yield relayed, _list_addresses(receivers.relays)

    def _list_relays(self, region: str) -> frozenset[str]:
        """Return the names of live gateways that pass heartbeats on."""
        return frozenset(
            heartbeat.name
            for heartbeat in self._table.list_live(region)
            if heartbeat.relays
        )


def _list_addresses(contacts: Iterable[GatewayContact]) -> Sequence[Address]:
    return [contact.address for contact in contacts]
