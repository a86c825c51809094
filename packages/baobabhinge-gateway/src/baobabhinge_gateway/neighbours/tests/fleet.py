"""Gateways that exchange heartbeats over a simulated network."""

from collections import Counter
from datetime import timedelta
from ipaddress import IPv4Address
from random import Random
from unittest.mock import Mock

from prometheus_client import CollectorRegistry

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.forwarding.server_load import ServerLoad
from baobabhinge_gateway.neighbours import (
    DatagramReceiver,
    GatewayContact,
    GatewayTable,
    Heartbeat,
    HeartbeatPlan,
    PeerHandlers,
    PeerMetrics,
)
from baobabhinge_gateway.neighbours.datagrams import (
    MARKER,
    decode_message,
    encode_message,
)
from baobabhinge_gateway.neighbours.pacing import (
    RemotePacer,
    compute_interval,
)

PORT = 7395
FIRST_HOST = IPv4Address('10.0.0.1')


class Traffic:
    """What gateways have sent.

    Attributes
    ----------
    crossing : Counter
        Datagrams to other regions, by sender.
    told : Counter
        Heartbeats of other regions in datagrams, by receiver.
    longest : int
        Bytes of the longest datagram.
    """

    def __init__(self):
        self.crossing = Counter()
        self.told = Counter()
        self.longest = 0


class SimulatedGateway:
    """Real table, plan and receiver of one gateway.

    An earlier version is simulated by one that reads no bundles and tells so.
    """

    def __init__(self, fleet, contact, *, relays=True):
        self._fleet = fleet
        self.contact = contact
        self._relays = relays
        self.table = GatewayTable(contact, fleet.clock)
        self._plan = HeartbeatPlan(self.table, self._compose, fleet.random)
        self.receiver = DatagramReceiver(
            self.table,
            PeerHandlers(Mock(), Mock(), Mock()),
            PeerMetrics(CollectorRegistry(), timedelta),
            self._plan.relays,
        )
        self._sequence = 0
        self._pacer = RemotePacer()
        self._incarnation = 'first'

    def send(self):
        self.table.stalls.record_tick()
        self._sequence += 1
        local = self._plan.compose_local(self._sequence)
        has_remote = self._pacer.take_turn(
            self._fleet.clock.read_monotonic(), is_ready=local.is_ready
        )
        due = self._plan.iterate_due(local, has_remote=has_remote)
        if not self._relays:
            due = self._iterate_all(has_remote=has_remote)
        for message, addresses in due:
            self._fleet.deliver(self, encode_message(message), addresses)

    def compose_local(self):
        return self._plan.compose_local(self._sequence)

    def iterate_due(self, local):
        return self._plan.iterate_due(local, has_remote=True)

    def receive(self, datagram):
        if self._relays or not datagram.startswith(MARKER):
            self.receiver.receive(datagram, ('', 0))

    def restart(self):
        """Begin anew, without the memory of the process before."""
        self.__init__(self._fleet, self.contact, relays=self._relays)
        self._incarnation = 'next'
        self._fleet.introduce(self)

    def list_live(self):
        return {heartbeat.name for heartbeat in self.table.list_live()}

    def _iterate_all(self, *, has_remote):
        for contact in self.table.contacts.values():
            if has_remote or contact.region == self.contact.region:
                message = self._compose(self._sequence, contact.region)
                yield message, [contact.address]

    def _compose(self, sequence, region):
        host = self.contact.host
        return Heartbeat(
            name=self.contact.name,
            incarnation=self._incarnation,
            sequence=sequence,
            region=self.contact.region,
            caller_address=f'{host}:80',
            hop_address=f'{host}:81',
            is_ready=True,
            version=1,
            loads={
                f'server-{number}': ServerLoad(1, 2, 3) for number in range(4)
            },
            relays=self._relays,
        )


class SimulatedFleet:
    """Gateways of three regions, and the network between them.

    Attributes
    ----------
    loss : float
        Fraction of the datagrams that are lost.
    silent : set of str
        Gateways that neither send nor receive.
    traffic : Traffic
        What was sent.
    """

    def __init__(self, region_size, seed, old=(), interval=None):
        self.clock = ManualClock()
        self.random = Random(seed)
        self.loss = 0
        self._interval = interval or compute_interval(region_size)
        self.silent = set()
        self.traffic = Traffic()
        self.gateways = {}
        for region in range(3):
            for number in range(region_size):
                host = str(FIRST_HOST + 256 * region + number)
                name = f'gateway-{region}-{number}'
                contact = GatewayContact(name, f'region-{region}', host, PORT)
                self.gateways[(host, PORT)] = SimulatedGateway(
                    self, contact, relays=number not in old
                )
        for gateway in self.gateways.values():
            self.introduce(gateway)

    @property
    def interval(self):
        """Time between two heartbeats of a gateway."""
        return self._interval

    def introduce(self, gateway):
        """Let a gateway read the contacts of all others in the store."""
        for other in self.gateways.values():
            gateway.table.add_contact(other.contact)

    def list_running(self):
        return [
            gateway
            for gateway in self.gateways.values()
            if gateway.contact.name not in self.silent
        ]

    def play(self, span):
        """Let all running gateways send, in an order that changes."""
        for _ in range(span // self.interval):
            self.clock.advance(self.interval)
            running = self.list_running()
            self.random.shuffle(running)
            for gateway in running:
                gateway.send()

    def deliver(self, sender, datagram, addresses):
        self.traffic.longest = max(self.traffic.longest, len(datagram))
        for address in addresses:
            receiver = self.gateways[address]
            if receiver.contact.region != sender.contact.region:
                self.traffic.crossing[sender.contact.name] += 1
            is_lost = self.random.random() < self.loss
            if not is_lost and receiver.contact.name not in self.silent:
                self.traffic.told[receiver.contact.name] += count_told(
                    datagram, receiver.contact.region
                )
                receiver.receive(datagram)

    def find_unheard(self):
        """Return pairs of running gateways of which one is held for gone."""
        running = self.list_running()
        names = {gateway.contact.name for gateway in running}
        return [
            (gateway.contact.name, missing)
            for gateway in running
            for missing in names - gateway.list_live() - {gateway.contact.name}
        ]

    def find_wrongly_live(self):
        """Return pairs of which a gateway that has ended is held for live."""
        return [
            (gateway.contact.name, name)
            for gateway in self.list_running()
            for name in gateway.list_live() & self.silent
        ]


def count_told(datagram, region):
    """Return how many heartbeats of other regions a datagram holds."""
    message = decode_message(datagram)
    told = getattr(message, 'heartbeats', [message])
    return sum(heartbeat.region != region for heartbeat in told)
