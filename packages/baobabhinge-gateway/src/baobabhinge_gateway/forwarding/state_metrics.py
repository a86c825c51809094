"""Metrics of the state that gateways fetch from each other."""

from collections.abc import Iterator
from contextlib import contextmanager

from prometheus_client import CollectorRegistry, Counter, Gauge

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.state_lag import PartLag, StateLag


class StateMetrics:
    """Fetches and transfers of state, by its part.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the process.
    lag : StateLag
        Lag of each part.
    """

    __slots__ = ('_fetches', '_sent')

    def __init__(self, registry: CollectorRegistry, lag: StateLag) -> None:
        """Register the metrics, all at zero."""
        self._fetches = Counter(
            'baobabhinge_state_fetches',
            'Requests for state to other gateways',
            ('part', 'outcome'),
            registry=registry,
        )
        self._sent = Counter(
            'baobabhinge_state_bytes_sent',
            'Bytes of state that were sent to other gateways',
            ('part',),
            registry=registry,
        )
        servers_behind = Gauge(
            'baobabhinge_servers_behind_seconds',
            'Time for which another gateway has had a newer list of servers',
            registry=registry,
        )
        servers_behind.set_function(
            lambda: lag.servers.compute().total_seconds()
        )

    @contextmanager
    def track_fetch(self, lag: PartLag) -> Iterator[None]:
        """Count one fetch of a part within the context, and its failure."""
        try:
            yield
        except (NotReachedError, ForwardingError):
            lag.failed_fetches += 1
            self._fetches.labels(lag.part, 'failed').inc()
            raise
        self._fetches.labels(lag.part, 'fetched').inc()

    def record_sent(self, part: str, length: int) -> None:
        """Record that ``length`` bytes were sent to another gateway."""
        self._sent.labels(part).inc(length)
