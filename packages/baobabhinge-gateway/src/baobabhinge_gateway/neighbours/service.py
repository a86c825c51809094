"""Sending and taking heartbeats as datagrams."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec
import structlog
from mode import Service

from baobabhinge_gateway.forwarding.loads import ServerLoad
from baobabhinge_gateway.neighbours.messages import Heartbeat
from baobabhinge_gateway.neighbours.table import Contact, GatewayTable

PERIOD = timedelta(milliseconds=300)
# Other regions get each third heartbeat: their link is narrow and priced.
AWAY_EVERY = 3

log = structlog.get_logger(__name__)


HearLoads = Callable[[str, Mapping[str, ServerLoad]], None]


class HeartbeatReceiver(asyncio.DatagramProtocol):
    """Take heartbeats of other gateways.

    Parameters
    ----------
    table : GatewayTable
        Takes what is heard.
    hear_loads : callable
        Takes the loads that a gateway tells.
    """

    def __init__(self, table: GatewayTable, hear_loads: HearLoads) -> None:
        """Keep the parts."""
        self._table = table
        self._hear_loads = hear_loads

    def datagram_received(self, datagram: bytes, source: object) -> None:
        """Take one heartbeat."""
        try:
            beat = msgspec.msgpack.decode(datagram, type=Heartbeat)
        except msgspec.MsgspecError as unreadable:
            log.warning('heartbeat-unreadable', reason=str(unreadable))
            return
        if self._table.hear(beat):
            self._hear_loads(beat.name, beat.loads)

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
        Returns the heartbeat of a number.
    hear_loads : callable
        Takes the loads that a gateway tells.
    """

    def __init__(
        self,
        table: GatewayTable,
        compose: Callable[[int], Heartbeat],
        hear_loads: HearLoads,
    ) -> None:
        """Open no socket yet."""
        super().__init__()
        self._table = table
        self._compose = compose
        self._receiver = HeartbeatReceiver(table, hear_loads)
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

    def tell(self) -> None:
        """Send one heartbeat to every known gateway that is due."""
        self._sequence += 1
        datagram = msgspec.msgpack.encode(self._compose(self._sequence))
        is_away_due = self._sequence % AWAY_EVERY == 0
        for contact in self._table.contacts.values():
            if is_away_due or contact.region == self._table.own.region:
                self._send(datagram, contact)

    def _send(self, datagram: bytes, contact: Contact) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram, (contact.host, contact.port))

    async def _beat_forever(self) -> None:
        while not self.should_stop:
            self.tell()
            await self.sleep(PERIOD.total_seconds())
