"""Sending and receiving of heartbeats as datagrams."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import structlog
from mode import Service

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.neighbours.messages import Heartbeat
from baobabhinge_gateway.neighbours.metrics import PeerMetrics
from baobabhinge_gateway.neighbours.table import (
    GatewayContact,
    GatewayTable,
    group_by_region,
)

HEARTBEAT_INTERVAL = timedelta(milliseconds=300)
# Remote regions get every third heartbeat: the links to them have a low
# bandwidth, and their traffic is charged.
REMOTE_REGION_EVERY = 3

log = structlog.get_logger(__name__)


HeartbeatComposer = Callable[[int, str], Heartbeat]
HeartbeatHandler = Callable[[Heartbeat], None]


class HeartbeatReceiver(asyncio.DatagramProtocol):
    """Receive heartbeats of other gateways.

    Parameters
    ----------
    table : GatewayTable
        Records the heartbeats.
    on_heartbeat : callable
        Called with each heartbeat that the table did not know.
    metrics : PeerMetrics
        Counts datagrams that are not sent.
    """

    def __init__(
        self,
        table: GatewayTable,
        on_heartbeat: HeartbeatHandler,
        metrics: PeerMetrics,
    ) -> None:
        """Store the collaborators."""
        self._table = table
        self._on_heartbeat = on_heartbeat
        self._metrics = metrics

    def datagram_received(self, datagram: bytes, source: object) -> None:
        """Record one heartbeat; one that can't be decoded is dropped."""
        try:
            heartbeat = msgspec.msgpack.decode(datagram, type=Heartbeat)
        except msgspec.MsgspecError as unreadable:
            log.warning('heartbeat-unreadable', reason=str(unreadable))
            return
        if self._table.record_heartbeat(heartbeat):
            self._on_heartbeat(heartbeat)

    def error_received(self, failure: Exception) -> None:
        """Log that a datagram could not be sent."""
        self._metrics.record_unsent()
        log.warning('heartbeat-not-sent', reason=repr(failure))


class HeartbeatService(Service):
    """Send heartbeats of this gateway, and receive those of others.

    Parameters
    ----------
    table : GatewayTable
        Contacts of the other gateways.
    compose : callable
        Returns the heartbeat with a sequence number for a region.
    on_heartbeat : callable
        Called with each heartbeat that the table did not know.
    metrics : PeerMetrics
        Records sizes and delays.
    clock : Clock
        Clock of the delays.
    """

    def __init__(
        self,
        table: GatewayTable,
        compose: HeartbeatComposer,
        on_heartbeat: HeartbeatHandler,
        metrics: PeerMetrics,
        clock: Clock,
    ) -> None:
        """Start without a socket; `on_start` opens it."""
        super().__init__()
        self._table = table
        self._compose = compose
        self._metrics = metrics
        self._clock = clock
        self._receiver = HeartbeatReceiver(table, on_heartbeat, metrics)
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def on_start(self) -> None:
        """Open the socket and start sending in the background."""
        own = self._table.own
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: self._receiver,
            local_addr=(own.host, own.port),
        )
        self._transport = opened[0]
        self.add_future(self._send_forever())

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send_heartbeats(self, *, is_urgent: bool = False) -> None:
        """Send a heartbeat to the gateways that are due.

        Those of remote regions get every third one, and the urgent ones.
        """
        self._sequence += 1
        is_remote_due = is_urgent or self._sequence % REMOTE_REGION_EVERY == 0
        groups = group_by_region(self._table.contacts.values())
        for region, contacts in groups.items():
            if is_remote_due or region == self._table.own.region:
                self._send(region, contacts)

    def _send(self, region: str, contacts: Sequence[GatewayContact]) -> None:
        heartbeat = self._compose(self._sequence, region)
        datagram = msgspec.msgpack.encode(heartbeat)
        self._metrics.record_sent('heartbeat', len(datagram), len(contacts))
        for contact in contacts:
            if self._transport is not None:
                self._transport.sendto(datagram, (contact.host, contact.port))

    async def _send_forever(self) -> None:
        while not self.should_stop:
            self.send_heartbeats()
            due = self._clock.read_monotonic() + HEARTBEAT_INTERVAL
            await self.sleep(HEARTBEAT_INTERVAL.total_seconds())
            delay = self._clock.read_monotonic() - due
            self._metrics.record_loop_delay(max(timedelta(), delay))
