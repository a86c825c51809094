"""Metrics of quotas, by workspace."""

from prometheus_client import CollectorRegistry, Counter

# Beyond these, workspaces are counted together.
MAX_LABELS = 64
OTHERS = 'other'


class QuotaMetrics:
    """Counters of admitted and refused calls, and of questions for units.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics of the process.
    """

    __slots__ = ('_asked', '_calls', '_labels', '_unanswered')

    def __init__(self, registry: CollectorRegistry) -> None:
        """Start with all counts at zero."""
        self._labels: set[str] = set()
        self._calls = Counter(
            'baobabhinge_quota_calls',
            'Calls of workspaces with a quota, granted or refused',
            ('workspace', 'outcome'),
            registry=registry,
        )
        self._asked = Counter(
            'baobabhinge_quota_asks',
            'Questions to keepers of quotas',
            ('workspace',),
            registry=registry,
        )
        self._unanswered = Counter(
            'baobabhinge_quota_asks_unanswered',
            'Questions to keepers of quotas that were not answered in time',
            ('workspace',),
            registry=registry,
        )

    def count_call(self, workspace: str, *, is_granted: bool) -> None:
        """Count a call."""
        outcome = 'granted' if is_granted else 'refused'
        self._calls.labels(self._choose_label(workspace), outcome).inc()

    def count_ask(self, workspace: str) -> None:
        """Count a question."""
        self._asked.labels(self._choose_label(workspace)).inc()

    def count_unanswered(self, workspace: str) -> None:
        """Count a question that was not answered in time."""
        self._unanswered.labels(self._choose_label(workspace)).inc()

    def _choose_label(self, workspace: str) -> str:
        if workspace not in self._labels:
            if len(self._labels) >= MAX_LABELS:
                return OTHERS
            self._labels.add(workspace)
        return workspace
