"""Metrics of a gateway that is behind."""

from datetime import timedelta

from prometheus_client import CollectorRegistry, Counter, Gauge

STAGES = ('arrival', 'held')


class OverloadMetrics:
    """Delay of the event loop, and refusals because of it.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of all metrics of the process.

    Attributes
    ----------
    refused : Counter
        Refused calls, by the stage at which they were refused.
    """

    __slots__ = ('_admitted', '_delay', 'refused')

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics."""
        self.refused = Counter(
            'baobabhinge_calls_refused_busy',
            'Calls that were refused because the gateway was behind',
            ('stage',),
            registry=registry,
        )
        self._delay = Gauge(
            'baobabhinge_gateway_delay_seconds',
            'Delay of the event loop that has stood for a quarter of a second',
            registry=registry,
        )
        self._admitted = Gauge(
            'baobabhinge_gateway_admitted_share',
            'Share of the arriving calls that the gateway admits',
            registry=registry,
        )

    def show(self, delay: timedelta, admitted: float) -> None:
        """Show the latest figures."""
        self._delay.set(delay.total_seconds())
        self._admitted.set(admitted)

    def count_refused(self) -> int:
        """Return the calls that were refused since the start."""
        return sum(
            int(sample.value)
            for metric in self.refused.collect()
            for sample in metric.samples
            if sample.name.endswith('_total')
        )
