"""Sending and taking heartbeats as datagrams."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import structlog
from mode import Service

from baobabhinge_gateway.neighbours.messages import Heartbeat
from baobabhinge_gateway.neighbours.table import (
    GatewayContact,
    GatewayTable,
    group_by_region,
)

HEARTBEAT_PERIOD = timedelta(milliseconds=300)
# Other regions get each third heartbeat: their link is narrow and priced.
REMOTE_REGION_EVERY = 3

log = structlog.get_logger(__name__)


HeartbeatComposer = Callable[[int, str], Heartbeat]
HeartbeatHandler = Callable[[Heartbeat], None]


class HeartbeatReceiver(asyncio.DatagramProtocol):
    """Take heartbeats of other gateways.

    Parameters
    ----------
    table : GatewayTable
        Takes what is heard.
    on_heartbeat : callable
        Takes each heartbeat that is news.
    """

    def __init__(
        self, table: GatewayTable, on_heartbeat: HeartbeatHandler
    ) -> None:
        """Keep the parts."""
        self._table = table
        self._hear = on_heartbeat

    def datagram_received(self, datagram: bytes, source: object) -> None:
        """Take one heartbeat."""
        try:
            beat = msgspec.msgpack.decode(datagram, type=Heartbeat)
        except msgspec.MsgspecError as unreadable:
            log.warning('heartbeat-unreadable', reason=str(unreadable))
            return
        if self._table.record_heartbeat(beat):
            self._hear(beat)

    def error_received(self, failure: Exception) -> None:
        """Note that a datagram could not be sent."""
        log.debug('heartbeat-not-sent', reason=repr(failure))


class HeartbeatService(Service):
    """Tell other gateways about this one, and hear about them.

    Parameters
    ----------
    table : GatewayTable
        Knows whom to tell.
    compose : callable
        Returns the heartbeat of a number for a region.
    on_heartbeat : callable
        Takes each heartbeat that is news.
    """

    def __init__(
        self,
        table: GatewayTable,
        compose: HeartbeatComposer,
        on_heartbeat: HeartbeatHandler,
    ) -> None:
        """Open no socket yet."""
        super().__init__()
        self._table = table
        self._compose = compose
        self._receiver = HeartbeatReceiver(table, on_heartbeat)
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def on_start(self) -> None:
        """Open the socket and begin."""
        own = self._table.own
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: self._receiver,
            local_addr=(own.host, own.port),
        )
        self._transport = opened[0]
        self.add_future(self._beat_forever())

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send_heartbeats(self) -> None:
        """Send one heartbeat to every known gateway that is due."""
        self._sequence += 1
        is_away_due = self._sequence % REMOTE_REGION_EVERY == 0
        groups = group_by_region(self._table.contacts.values())
        for region, contacts in groups.items():
            if is_away_due or region == self._table.own.region:
                self._send(region, contacts)

    def _send(self, region: str, contacts: Sequence[GatewayContact]) -> None:
        beat = self._compose(self._sequence, region)
        datagram = msgspec.msgpack.encode(beat)
        for contact in contacts:
            if self._transport is not None:
                self._transport.sendto(datagram, (contact.host, contact.port))

    async def _beat_forever(self) -> None:
        while not self.should_stop:
            self.send_heartbeats()
            await self.sleep(HEARTBEAT_PERIOD.total_seconds())
