"""Fair shares of a full service."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from baobabhinge_gateway.admission.reports import ShareReport
from baobabhinge_gateway.calls import Call

MAX_REPORTED_SHARES = 32


class _Account(msgspec.Struct, frozen=True):
    service: str
    workspace: str


class WorkspaceShares:
    """Count calls in flight by service and workspace."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start with none."""
        self._counts: Counter[_Account] = Counter()

    @contextmanager
    def track(self, call: Call) -> Iterator[None]:
        """Count ``call`` while the context is open."""
        account = _name_account(call)
        self._counts[account] += 1
        try:
            yield
        finally:
            self._forget(account)

    def is_above_share(self, call: Call) -> bool:
        """Tell whether the workspace of ``call`` has more than its share.

        The share is the same for each workspace with calls in flight, and a
        workspace alone is never above it.
        """
        counts = self._list_counts(call.service.name)
        if len(counts) <= 1:
            return False
        own = self._counts[_name_account(call)]
        return own > sum(counts) / len(counts)

    def list_shares(self) -> list[ShareReport]:
        """Return the workspaces with calls in flight, the busiest first."""
        return [
            ShareReport(
                account.service,
                account.workspace,
                count,
                self._compute_share(account.service),
            )
            for account, count in self._counts.most_common(MAX_REPORTED_SHARES)
        ]

    def _compute_share(self, service: str) -> float:
        counts = self._list_counts(service)
        return sum(counts) / len(counts)

    def _list_counts(self, service: str) -> list[int]:
        return [
            count
            for account, count in self._counts.items()
            if account.service == service
        ]

    def _forget(self, account: _Account) -> None:
        self._counts[account] -= 1
        if not self._counts[account]:
            self._counts.pop(account)


def _name_account(call: Call) -> _Account:
    return _Account(call.service.name, call.terms.workspace)
