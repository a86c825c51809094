"""Counter of the calls of each workspace."""

from prometheus_client import CollectorRegistry, Counter

# Bounds the labels of the metric: workspaces after the first ones since the
# start of the process are counted together.
MAX_WORKSPACES = 200
OTHERS = 'others'


class WorkspaceCounter:
    """Count calls by workspace and outcome.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of all metrics of the process.
    """

    __slots__ = ('_ended', '_names')

    def __init__(self, registry: CollectorRegistry) -> None:
        """Start without calls."""
        self._names: set[str] = set()
        self._ended = Counter(
            'baobabhinge_workspace_calls_ended',
            'Calls by workspace and outcome',
            ('workspace', 'outcome'),
            registry=registry,
        )

    def count(self, workspace: str, outcome: str) -> None:
        """Count the end of one call."""
        if len(self._names) < MAX_WORKSPACES:
            self._names.add(workspace)
        label = workspace if workspace in self._names else OTHERS
        self._ended.labels(label, outcome).inc()
