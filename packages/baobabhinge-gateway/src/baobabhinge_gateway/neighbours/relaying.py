"""Heartbeats between large regions, told to a few gateways that pass them on.

Load pattern: hundreds of gateways in a few regions, whose links have a low
bandwidth. A heartbeat crosses them a few times, not once for each gateway of
the other region.
"""

from collections.abc import Collection, Iterable, Sequence
from random import Random

import msgspec

from baobabhinge_gateway.neighbours.messages import Heartbeat
from baobabhinge_gateway.neighbours.table import GatewayContact

# Regions up to this size are told as a whole.
MAX_DIRECT = 9
# Chosen anew for each heartbeat: what one of them loses, another passes on.
RELAYS = 3
# With its headers, a datagram of this size fits into one packet.
MAX_BUNDLE_BYTES = 1300


class RemoteReceivers(msgspec.Struct, frozen=True):
    """Gateways of a remote region that get a heartbeat.

    Parameters
    ----------
    relays : sequence of GatewayContact
        Gateways that are to pass the heartbeat on.
    direct : sequence of GatewayContact
        Gateways that get it for themselves. If they passed it on too, each
        gateway of a failure domain that was cut off would tell all others of
        its region what they know.
    """

    relays: Sequence[GatewayContact]
    direct: Sequence[GatewayContact]


def choose_receivers(
    contacts: Sequence[GatewayContact],
    relays: Collection[str],
    random: Random,
) -> RemoteReceivers:
    """Return the gateways of a remote region that get a heartbeat.

    Those that pass nothing on, as gateways of an earlier version, and those
    that were not heard of, get it directly.

    Parameters
    ----------
    contacts : sequence of GatewayContact
        Gateways of the region.
    relays : collection of str
        Names of the live gateways that pass heartbeats on.
    random : Random
        Chooses the relays.
    """
    if len(contacts) <= MAX_DIRECT:
        return RemoteReceivers((), contacts)
    able = [contact for contact in contacts if contact.name in relays]
    direct = [contact for contact in contacts if contact.name not in relays]
    chosen = random.sample(able, min(RELAYS, len(able)))
    return RemoteReceivers(chosen, direct)


class RelayQueue:
    """Heartbeats of other regions that this gateway is to pass on."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        """Start without heartbeats."""
        self._pending: dict[str, Heartbeat] = {}

    def add(self, heartbeat: Heartbeat) -> None:
        """Queue a heartbeat; it replaces an older one of its gateway."""
        self._pending[heartbeat.name] = heartbeat

    def discard(self, heartbeat: Heartbeat) -> None:
        """Drop what another gateway of the region has passed on."""
        queued = self._pending.get(heartbeat.name)
        if queued is None or queued.incarnation != heartbeat.incarnation:
            return
        if queued.sequence <= heartbeat.sequence:
            self._pending.pop(heartbeat.name)

    def drain(self, own: Heartbeat) -> Sequence[Sequence[Heartbeat]]:
        """Return all heartbeats in bundles, each one packet, ``own`` first."""
        pending = (own, *self._pending.values())
        self._pending.clear()
        return split_bundles(pending)


def split_bundles(
    heartbeats: Iterable[Heartbeat],
) -> Sequence[Sequence[Heartbeat]]:
    """Return heartbeats in as few bundles as fit into one packet each.

    A heartbeat that is longer by itself has a bundle of its own.
    """
    bundles: list[list[Heartbeat]] = [[]]
    used = 0
    for heartbeat in heartbeats:
        length = len(msgspec.msgpack.encode(heartbeat))
        if bundles[-1] and used + length > MAX_BUNDLE_BYTES:
            bundles.append([])
            used = 0
        bundles[-1].append(heartbeat)
        used += length
    return bundles
