"""Receiving of datagrams of other gateways."""

from collections.abc import Callable

import msgspec
import structlog

from baobabhinge_gateway.neighbours.batches import Address
from baobabhinge_gateway.neighbours.datagrams import decode_message
from baobabhinge_gateway.neighbours.messages import (
    CrashReports,
    Heartbeat,
    HeartbeatBundle,
    OriginQuery,
    OriginRecord,
    PeerMessage,
)
from baobabhinge_gateway.neighbours.metrics import PeerMetrics
from baobabhinge_gateway.neighbours.relaying import RelayQueue
from baobabhinge_gateway.neighbours.sections import SectionMessage
from baobabhinge_gateway.neighbours.table import GatewayTable

HeartbeatHandler = Callable[[Heartbeat], None]
ReportHandler = Callable[[CrashReports], None]
OriginHandler = Callable[[OriginRecord | OriginQuery, Address], None]
SectionHandler = Callable[[SectionMessage, Address], None]

log = structlog.get_logger(__name__)


def ignore_section(message: SectionMessage, source: Address) -> None:
    """Drop a message, as no part of the gateway has registered."""


class PeerHandlers(msgspec.Struct, frozen=True):
    """Functions to which received messages are passed.

    Parameters
    ----------
    on_heartbeat : callable
        Called with each heartbeat that the table did not know.
    on_reports : callable
        Called with reports of crashes.
    on_origin : callable
        Called with messages about streams, and the address of the sender.
    on_section : callable
        Called with messages of single parts, and the address of the sender.
    """

    on_heartbeat: HeartbeatHandler
    on_reports: ReportHandler
    on_origin: OriginHandler
    on_section: SectionHandler = ignore_section


class DatagramReceiver:
    """Receive datagrams of other gateways.

    Parameters
    ----------
    table : GatewayTable
        Records the heartbeats.
    handlers : PeerHandlers
        Get what is received.
    metrics : PeerMetrics
        Counts datagrams that are not sent.
    relays : RelayQueue
        Gets the heartbeats that this gateway is to pass on.
    """

    __slots__ = ('_handlers', '_metrics', '_relays', '_table')

    def __init__(
        self,
        table: GatewayTable,
        handlers: PeerHandlers,
        metrics: PeerMetrics,
        relays: RelayQueue,
    ) -> None:
        """Store the collaborators."""
        self._table = table
        self._handlers = handlers
        self._metrics = metrics
        self._relays = relays

    def receive(self, datagram: bytes, source: Address) -> None:
        """Pass on one message; one that can't be used is dropped."""
        try:
            self._pass_on(datagram, source)
        except msgspec.MsgspecError as unreadable:
            self._metrics.record_dropped()
            log.warning('heartbeat-unreadable', reason=str(unreadable))
        except Exception as unexpected:
            self._metrics.record_dropped()
            log.error('datagram-failed', reason=repr(unexpected))

    def record_failure(self, failure: Exception) -> None:
        """Record that a datagram could not be sent or read."""
        self._metrics.record_unsent()
        log.warning('heartbeat-not-sent', reason=repr(failure))

    def _pass_on(self, datagram: bytes, source: Address) -> None:
        message = decode_message(datagram)
        if isinstance(message, Heartbeat):
            is_new = self._take(message)
            if is_new and message.is_to_relay:
                self._relays.add(message)
        else:
            self._dispatch(message, source)

    def _dispatch(self, message: PeerMessage, source: Address) -> None:
        if isinstance(message, CrashReports):
            self._handlers.on_reports(message)
        elif isinstance(message, HeartbeatBundle):
            for heartbeat in message.heartbeats:
                self._relays.discard(heartbeat)
                self._take(heartbeat)
        elif isinstance(message, SectionMessage):
            self._handlers.on_section(message, source)
        else:
            self._handlers.on_origin(message, source)

    def _take(self, heartbeat: Heartbeat) -> bool:
        is_new = self._table.record_heartbeat(heartbeat)
        if is_new:
            self._handlers.on_heartbeat(heartbeat)
        return is_new
