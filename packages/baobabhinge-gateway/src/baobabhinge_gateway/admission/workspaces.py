"""Fair shares of workspaces in a full service."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from baobabhinge_gateway.admission.reports import ShareReport
from baobabhinge_gateway.calls import Call

MAX_REPORTED_SHARES = 32


class _ShareKey(msgspec.Struct, frozen=True):
    service: str
    workspace: str


class WorkspaceShares:
    """Count calls in flight by service and workspace."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start without calls."""
        self._counts: Counter[_ShareKey] = Counter()

    @contextmanager
    def track(self, call: Call) -> Iterator[None]:
        """Count ``call`` as in flight within the context."""
        key = _build_key(call)
        self._counts[key] += 1
        try:
            yield
        finally:
            self._remove_call(key)

    def is_above_share(self, call: Call) -> bool:
        """Return whether the workspace of ``call`` exceeds its share.

        Each workspace with calls in flight has the same share. A single
        workspace never exceeds it.
        """
        counts = self._list_counts(call.service.name)
        if len(counts) <= 1:
            return False
        own = self._counts[_build_key(call)]
        return own > sum(counts) / len(counts)

    def list_shares(self) -> list[ShareReport]:
        """Return the shares with the most calls in flight, busiest first."""
        return [
            ShareReport(
                key.service,
                key.workspace,
                count,
                self._compute_share(key.service),
            )
            for key, count in self._counts.most_common(MAX_REPORTED_SHARES)
        ]

    def _compute_share(self, service: str) -> float:
        counts = self._list_counts(service)
        return sum(counts) / len(counts)

    def _list_counts(self, service: str) -> list[int]:
        return [
            count
            for key, count in self._counts.items()
            if key.service == service
        ]

    def _remove_call(self, key: _ShareKey) -> None:
        self._counts[key] -= 1
        if not self._counts[key]:
            self._counts.pop(key)


def _build_key(call: Call) -> _ShareKey:
    return _ShareKey(call.service.name, call.terms.workspace)
