"""Live gateways, by their heartbeats."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.neighbours.messages import Heartbeat

# Ten heartbeats of the own region, three of another: silence beyond it means
# that the gateway or the way to it is gone.
HEARTBEAT_TIMEOUT = timedelta(seconds=3)

log = structlog.get_logger(__name__)


class GatewayContact(msgspec.Struct, frozen=True):
    """Where a gateway takes heartbeats.

    Parameters
    ----------
    name, region : str
        Name of its vm, and where it stands.
    host : str
        Address of the vm.
    port : int
        Port for datagrams.
    """

    name: str
    region: str
    host: str
    port: int


class GatewayTable:
    """Other gateways, and this one.

    Parameters
    ----------
    own : GatewayContact
        This gateway.
    clock : Clock
        Dates the heartbeats.

    Attributes
    ----------
    contacts : dict of str to GatewayContact
        Other gateways by name, live or not.
    """

    __slots__ = ('_beats', '_clock', '_heard', 'contacts', 'own')

    def __init__(self, own: GatewayContact, clock: Clock) -> None:
        """Know this gateway alone."""
        self.own = own
        self.contacts: dict[str, GatewayContact] = {}
        self._clock = clock
        self._beats: dict[str, Heartbeat] = {}
        self._heard: dict[str, timedelta] = {}

    def add_contact(self, contact: GatewayContact) -> None:
        """Learn where another gateway is.

        It takes the place of a seed at the same address.
        """
        if contact.name == self.own.name:
            return
        for known in tuple(self.contacts.values()):
            if (known.host, known.port) == (contact.host, contact.port):
                self.contacts.pop(known.name)
        self.contacts[contact.name] = contact

    def record_heartbeat(self, beat: Heartbeat) -> bool:
        """Take a heartbeat unless a newer one of its process is known."""
        if beat.name == self.own.name:
            return False
        known = self._beats.get(beat.name)
        if known and known.incarnation == beat.incarnation:
            if beat.sequence <= known.sequence:
                return False
        if known is None or known.is_ready != beat.is_ready:
            log.info('gateway-heard', gateway=beat.name, is_ready=beat.is_ready)
        self._beats[beat.name] = beat
        self._heard[beat.name] = self._clock.read_monotonic()
        host = beat.caller_address.rpartition(':')[0]
        self.add_contact(
            GatewayContact(beat.name, beat.region, host, self.own.port)
        )
        return True

    def list_names(self, region: str) -> Sequence[str]:
        """Return the live gateways of ``region``, this one included."""
        names = [beat.name for beat in self.list_live(region)]
        if region == self.own.region:
            names.append(self.own.name)
        return sorted(names)

    def list_addresses(self, region: str) -> Sequence[str]:
        """Return where other ready gateways of ``region`` take calls."""
        return [
            beat.hop_address for beat in self.list_live(region) if beat.is_ready
        ]

    def list_caller_addresses(self, region: str) -> Sequence[str]:
        """Return where ready gateways of ``region`` take callers."""
        return [
            beat.caller_address
            for beat in self.list_live(region)
            if beat.is_ready
        ]

    def list_live(self, region: str | None = None) -> Sequence[Heartbeat]:
        """Return the latest heartbeats of live gateways, of one region."""
        oldest = self._clock.read_monotonic() - HEARTBEAT_TIMEOUT
        return [
            beat
            for beat in self._beats.values()
            if self._heard[beat.name] >= oldest
            and region in {None, beat.region}
        ]


def group_by_region(
    contacts: Iterable[GatewayContact],
) -> Mapping[str, Sequence[GatewayContact]]:
    """Return ``contacts`` by their region."""
    regions: defaultdict[str, list[GatewayContact]] = defaultdict(list)
    for contact in contacts:
        regions[contact.region].append(contact)
    return regions
