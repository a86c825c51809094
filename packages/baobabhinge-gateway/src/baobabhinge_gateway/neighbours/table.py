"""Table of the gateways that send heartbeats."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from random import Random

import msgspec
import structlog

from baobabhinge_coordination.bounds import Host, Port
from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.neighbours.messages import Heartbeat
from baobabhinge_gateway.neighbours.stalls import StallMonitor
from baobabhinge_gateway.overload.free_capacity import (
    FreeCapacities,
    choose_listed,
)

# Ten heartbeats of the local region, five if it is large, and three of a remote
# one. After that, the gateway or the link to it counts as failed.
HEARTBEAT_TIMEOUT = timedelta(seconds=3)
# Five heartbeats of a large remote region, each of which is told by one gateway
# of this region: with 3 of 100 packets lost, no gateway seems to have failed.
RELAYED_TIMEOUT = timedelta(milliseconds=4500)

# With the time in which the own region is heard of, two heartbeats of others.
REMOTE_SETTLING_MARGIN = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class GatewayContact(msgspec.Struct, frozen=True):
    """Address at which a gateway receives heartbeats.

    Parameters
    ----------
    name, region : str
        Name and region of its vm.
    host : str
        Address of the vm.
    port : int
        Port for datagrams.
    """

    name: str
    region: str
    host: Host
    port: Port

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return (self.host, self.port)


class GatewayTable:
    """Contacts and latest heartbeats of other gateways.

    Parameters
    ----------
    own : GatewayContact
        Contact of this gateway.
    clock : Clock
        Clock for the arrival of heartbeats.

    Attributes
    ----------
    clock : Clock
        Clock for the arrival of heartbeats.
    contacts : dict of str to GatewayContact
        Contacts of other gateways by name, live or not.
    free : FreeCapacities
        Free capacity of the gateways, as they report it.
    reaches_servers : bool
        Whether this gateway reaches any server of its region.
    stalls : StallMonitor
        Times in which this process did not run.
    """

    __slots__ = (
        '_heartbeats',
        '_received',
        'clock',
        'contacts',
        'free',
        'own',
        'reaches_servers',
        'stalls',
    )

    def __init__(self, own: GatewayContact, clock: Clock) -> None:
        """Start without other gateways."""
        self.own = own
        self.contacts: dict[str, GatewayContact] = {}
        self.clock = clock
        self.free = FreeCapacities(clock)
        self.reaches_servers = True
        self.stalls = StallMonitor(clock)
        self._heartbeats: dict[str, Heartbeat] = {}
        self._received: dict[str, timedelta] = {}

    def add_contact(self, contact: GatewayContact) -> None:
        """Add the contact of another gateway.

        It replaces a contact of the same address, such as a seed address that
        was added before its gateway was known by name.
        """
        if contact.name == self.own.name:
            return
        if self.contacts.get(contact.name) == contact:
            return
        for known in tuple(self.contacts.values()):
            if (known.host, known.port) == (contact.host, contact.port):
                self.contacts.pop(known.name)
        self.contacts[contact.name] = contact

    def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat unless one at least as new is known.

        Sequence numbers are compared within one process; a heartbeat of this
        gateway itself is ignored.

        Returns
        -------
        bool
            Whether the heartbeat was recorded.
        """
        if heartbeat.name == self.own.name:
            return False
        known = self._heartbeats.get(heartbeat.name)
        if known and known.incarnation == heartbeat.incarnation:
            if heartbeat.sequence <= known.sequence:
                return False
        if known is None or known.is_ready != heartbeat.is_ready:
            log.info(
                'gateway-status-changed',
                gateway=heartbeat.name,
                is_ready=heartbeat.is_ready,
            )
        self._heartbeats[heartbeat.name] = heartbeat
        self._received[heartbeat.name] = self.stalls.read_running_time()
        if known is None or heartbeat.name not in self.contacts:
            host = heartbeat.caller_address.rpartition(':')[0]
            self.add_contact(
                GatewayContact(
                    heartbeat.name, heartbeat.region, host, self.own.port
                )
            )
        return True

    def list_names(self, region: str) -> Sequence[str]:
        """Return the names of live gateways of ``region``, with this one.

        Left out are those that reach no servers, unless this one does not
        either: they can do nothing for others.
        """
        names = [
            heartbeat.name
            for heartbeat in self.list_live(region)
            if heartbeat.reaches_servers
        ]
        is_local = region == self.own.region
        if is_local and (self.reaches_servers or not names):
            names.append(self.own.name)
        return sorted(names)

    def list_hop_addresses(
        self,
        region: str,
        name: str | None = None,
        *,
        servers: Collection[str] = (),
    ) -> Sequence[str]:
        """Return the hop addresses of other ready gateways of ``region``.

        Those that reach no servers are left out, and busy ones of other
        regions.

        Parameters
        ----------
        region : str
            Region of the gateways.
        name : str, optional
            Name of the only gateway that is wanted.
        servers : collection of str, optional
            Names of servers, one of which the gateways are to reach.
        """
        is_local = region == self.own.region
        return [
            heartbeat.hop_address
            for heartbeat in self.list_live(region)
            if _takes_hops(heartbeat)
            and name in {None, heartbeat.name}
            and not (servers and set(heartbeat.shut).issuperset(servers))
            and (is_local or not self.free.is_busy(heartbeat.name))
        ]

    def list_caller_addresses(
        self, region: str, *, reaches_servers: bool = True
    ) -> Sequence[str]:
        """Return the caller addresses of other ready gateways of ``region``.

        Parameters
        ----------
        region : str
            Region of the gateways.
        reaches_servers : bool, optional
            Whether to return those that reach servers, or the others.
        """
        return [
            heartbeat.caller_address
            for heartbeat in self.list_live(region)
            if heartbeat.is_ready
            and heartbeat.reaches_servers == reaches_servers
        ]

    def list_live(
        self,
        region: str | None = None,
        timeout: timedelta | None = None,
    ) -> Sequence[Heartbeat]:
        """Return the latest heartbeats of other live gateways.

        Parameters
        ----------
        region : str, optional
            Region of the gateways; all regions if it is left out.
        timeout : timedelta, optional
            Longest time since the heartbeat; that after which a gateway counts
            as failed if it is left out.
        """
        now = self.stalls.read_running_time()
        limits = (timeout or HEARTBEAT_TIMEOUT, timeout or RELAYED_TIMEOUT)
        return [
            heartbeat
            for heartbeat in self._heartbeats.values()
            if region in {None, heartbeat.region}
            and now - self._received[heartbeat.name]
            <= limits[heartbeat.is_to_relay]
        ]


def is_region_lost(table: GatewayTable, region: str) -> bool:
    """Return whether it is known that no gateway of ``region`` is live.

    A gateway that has just started, or stood, does not know it.

    Parameters
    ----------
    table : GatewayTable
        Live gateways.
    region : str
        The region.
    """
    is_known = table.stalls.is_settled(REMOTE_SETTLING_MARGIN)
    return is_known and not table.list_live(region)


def spare_busy(
    table: GatewayTable, addresses: Sequence[str], random: Random
) -> Sequence[str]:
    """Return caller addresses without some of those of busy gateways.

    Parameters
    ----------
    table : GatewayTable
        Live gateways and their free capacity.
    addresses : sequence of str
        Caller addresses of gateways, that of this one included.
    random : Random
        Generator of the choice.
    """
    if not table.free.has_busy():
        return addresses
    names = {one.caller_address: one.name for one in table.list_live()}
    return choose_listed(
        [
            (one, table.free.read(names.get(one, table.own.name)))
            for one in addresses
        ],
        random,
    )


def group_by_region(
    contacts: Iterable[GatewayContact],
) -> Mapping[str, Sequence[GatewayContact]]:
    """Return ``contacts`` by their region."""
    regions: defaultdict[str, list[GatewayContact]] = defaultdict(list)
    for contact in contacts:
        regions[contact.region].append(contact)
    return regions


def _takes_hops(heartbeat: Heartbeat) -> bool:
    return heartbeat.is_ready and heartbeat.reaches_servers
