"""Metrics of second copies."""

from prometheus_client import CollectorRegistry, Counter


class CopyMetrics:
    """Counters of second copies.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics of the process.
    """

    __slots__ = ('_copies',)

    def __init__(self, registry: CollectorRegistry) -> None:
        """Start with all counts at zero."""
        self._copies = Counter(
            'baobabhinge_second_copies',
            'Second copies that were sent, won, or refused by the retry budget',
            ('outcome',),
            registry=registry,
        )

    def count_sent(self) -> None:
        """Count a copy that is sent."""
        self._copies.labels('sent').inc()

    def count_won(self) -> None:
        """Count a copy whose answer is passed on."""
        self._copies.labels('won').inc()

    def count_refused(self) -> None:
        """Count a copy that the retry budget does not allow."""
        self._copies.labels('refused').inc()
