"""Metrics of forwarded calls."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from baobabhinge_gateway.access.workspace_counter import WorkspaceCounter
from baobabhinge_gateway.connections.caller_connections import CallerConnections

# In seconds, around the objectives of both deployments (400 ms to 1,200 ms).
LATENCY_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.5, 5.0, 10.0)


class CallMetrics:
    """Counters and latencies of the calls of one gateway.

    Attributes
    ----------
    callers : CallerConnections
        Connections of the callers, and counts of those that have left.
    open_calls : int
        Calls without a final answer.
    registry : CollectorRegistry
        Registry of all metrics of the process.
    """

    __slots__ = (
        '_ended',
        '_latency',
        '_open',
        '_workspaces',
        'callers',
        'open_calls',
        'registry',
    )

    def __init__(self) -> None:
        """Create a registry of its own, with all counts at zero."""
        self.open_calls = 0
        self.registry = CollectorRegistry()
        self._ended = Counter(
            'baobabhinge_calls_ended',
            'Calls by outcome',
            ('outcome',),
            registry=self.registry,
        )
        self._latency = Histogram(
            'baobabhinge_call_seconds',
            'Time from arrival to the end of the answer',
            ('outcome',),
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._workspaces = WorkspaceCounter(self.registry)
        self.callers = CallerConnections(self.registry)
        self._open = Gauge(
            'baobabhinge_calls_open',
            'Calls without a final answer',
            registry=self.registry,
        )

    @contextmanager
    def track_open(self) -> Iterator[None]:
        """Count one call as open within the context."""
        self.open_calls += 1
        try:
            yield
        finally:
            self.open_calls -= 1

    def count(self, outcome: str, elapsed: timedelta) -> None:
        """Count the end of one call and its latency."""
        self._ended.labels(outcome).inc()
        self._latency.labels(outcome).observe(elapsed.total_seconds())

    def count_workspace(self, workspace: str, outcome: str) -> None:
        """Count the end of one call of a workspace."""
        self._workspaces.count(workspace, outcome)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        self._open.set(self.open_calls)
        return generate_latest(self.registry)
