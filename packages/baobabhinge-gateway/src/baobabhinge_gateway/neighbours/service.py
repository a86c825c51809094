"""Sending of heartbeats and crash reports as datagrams."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_gateway.neighbours.batches import (
    Address,
    DatagramSocket,
    SocketOpener,
    open_socket,
)
from baobabhinge_gateway.neighbours.datagrams import encode_message
from baobabhinge_gateway.neighbours.heartbeat_plan import HeartbeatPlan
from baobabhinge_gateway.neighbours.messages import Heartbeat, PeerMessage
from baobabhinge_gateway.neighbours.metrics import PeerMetrics
from baobabhinge_gateway.neighbours.pacing import (
    RemotePacer,
    compute_interval,
)
from baobabhinge_gateway.neighbours.receiver import DatagramReceiver
from baobabhinge_gateway.neighbours.report_sender import ReportSender
from baobabhinge_gateway.neighbours.table import GatewayTable
from baobabhinge_gateway.supervision import SupervisedService


class HeartbeatService(SupervisedService):
    """Send heartbeats and crash reports, and receive those of others.

    Parameters
    ----------
    table : GatewayTable
        Contacts of the other gateways.
    plan : HeartbeatPlan
        Chooses the heartbeats to send.
    reports : ReportSender
        Chooses the reports to send.
    receiver : DatagramReceiver
        Gets the datagrams of other gateways.
    metrics : PeerMetrics
        Records sizes and delays.

    Attributes
    ----------
    open_socket : callable
        Opens the socket; a simulated network takes its place.
    """

    def __init__(
        self,
        table: GatewayTable,
        plan: HeartbeatPlan,
        reports: ReportSender,
        receiver: DatagramReceiver,
        metrics: PeerMetrics,
    ) -> None:
        """Start without a socket; `on_start` opens it."""
        super().__init__()
        self._table = table
        self._plan = plan
        self._reports = reports
        self._receiver = receiver
        self._metrics = metrics
        self._sequence = 0
        self._is_remote_due = False
        self._remote_pacer = RemotePacer()
        self._socket: DatagramSocket | None = None
        self.open_socket: SocketOpener = open_socket

    async def on_start(self) -> None:
        """Open the socket and start sending in the background."""
        self._socket = await self.add_async_context(
            self.open_socket(self._receiver, self._table.own.address)
        )
        self.add_loop(self._send_forever)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the gateways that are due.

        Reports go ahead, so that a gateway which has just become known gets
        them first.
        """
        self._sequence += 1
        local = self._plan.compose_local(self._sequence)
        self._is_remote_due = self._remote_pacer.take_turn(
            self._table.clock.read_monotonic(), is_ready=local.is_ready
        )
        self.send_reports(is_urgent=False)
        due = self._plan.iterate_due(local, has_remote=self._is_remote_due)
        for message, addresses in due:
            if addresses:
                self.send_message(message, addresses)

    def send_reports(self, *, is_urgent: bool) -> None:
        """Send crash reports, if there are any, as far as the budget goes.

        Parameters
        ----------
        is_urgent : bool
            Whether other gateways are to be told of something new.
        """
        has_remote = is_urgent or self._is_remote_due
        due = self._reports.iterate_due(
            is_urgent=is_urgent, has_remote=has_remote
        )
        for datagram, contact in due:
            self._send(datagram, contact.address)

    def send_message(
        self, message: Heartbeat | PeerMessage, addresses: Sequence[Address]
    ) -> None:
        """Send one message to gateways, each by its host and port."""
        datagram = encode_message(message)
        kind = type(message).__name__
        self._metrics.record_sent(kind, len(datagram), len(addresses))
        for address in addresses:
            self._send(datagram, address)

    def _send(self, datagram: bytes, address: Address) -> None:
        if self._socket is not None:
            self._socket.send(datagram, address)

    async def _send_forever(self) -> None:
        while not self.should_stop:
            self._table.stalls.record_tick()
            self.send_heartbeats()
            regions = [one.region for one in self._table.contacts.values()]
            others = regions.count(self._table.own.region)
            interval = compute_interval(1 + others)
            due = self._table.clock.read_monotonic() + interval
            await self.sleep(interval.total_seconds())
            delay = self._table.clock.read_monotonic() - due
            self._metrics.record_loop_delay(max(timedelta(), delay))
