"""Metrics of the exchange between gateways."""

from collections.abc import Callable
from datetime import timedelta

from prometheus_client import CollectorRegistry, Counter, Gauge


class PeerMetrics:
    """Sizes of what is sent to other gateways, and delays of this one.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the process.
    compute_lag : callable
        Returns for how long this gateway has lacked operators' state that
        another one has.
    """

    __slots__ = ('_delay', '_dropped', '_length', '_sent', '_unsent')

    def __init__(
        self,
        registry: CollectorRegistry,
        compute_lag: Callable[[], timedelta],
    ) -> None:
        """Register the metrics, all at zero."""
        self._sent = Counter(
            'baobabhinge_peer_bytes_sent',
            'Bytes of datagrams to other gateways',
            ('kind',),
            registry=registry,
        )
        self._unsent = Counter(
            'baobabhinge_peer_datagrams_unsent',
            'Datagrams to other gateways that could not be sent',
            registry=registry,
        )
        self._dropped = Counter(
            'baobabhinge_peer_datagrams_dropped',
            'Datagrams that could not be decoded or used',
            registry=registry,
        )
        self._length = Gauge(
            'baobabhinge_peer_datagram_bytes',
            'Length of the latest datagram to other gateways',
            ('kind',),
            registry=registry,
        )
        self._delay = Gauge(
            'baobabhinge_event_loop_delay_seconds',
            'Delay of the latest heartbeat behind its time',
            registry=registry,
        )
        behind = Gauge(
            'baobabhinge_state_behind_seconds',
            'Time for which another gateway has had newer state of operators',
            registry=registry,
        )
        behind.set_function(lambda: compute_lag().total_seconds())

    def record_sent(self, kind: str, length: int, receivers: int) -> None:
        """Record that ``length`` bytes were sent to each of some gateways."""
        self._sent.labels(kind).inc(length * receivers)
        self._length.labels(kind).set(length)

    def record_unsent(self) -> None:
        """Record that a datagram was not sent."""
        self._unsent.inc()

    def record_dropped(self) -> None:
        """Record that a received datagram was dropped."""
        self._dropped.inc()

    def record_loop_delay(self, delay: timedelta) -> None:
        """Record how late a heartbeat was."""
        self._delay.set(delay.total_seconds())
