"""Units of all workspaces that this gateway may use."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_gateway.quotas.keeping import QuotaReader
from baobabhinge_gateway.quotas.local_balances import LocalBalance
from baobabhinge_gateway.quotas.messages import Grant, Report

# The keeper learns by some reports of no use that a workspace is idle.
REPORT_TERM = timedelta(seconds=3)
# Some 60 bytes at most each, within the bytes of a section.
MAX_REPORTS = 48


class CreditTable:
    """Units of all workspaces that this gateway may use.

    Parameters
    ----------
    read_quotas : callable
        Returns the part of the region in the quotas, by workspace.

    Attributes
    ----------
    read_quotas : callable
        Returns the part of the region in the quotas, by workspace.
    """

    __slots__ = ('_balances', 'read_quotas')

    def __init__(self, read_quotas: QuotaReader) -> None:
        """Start without units."""
        self.read_quotas = read_quotas
        self._balances: dict[str, LocalBalance] = {}

    def find(self, workspace: str) -> LocalBalance | None:
        """Return the units of a workspace, or ``None`` if it has no quota."""
        quota = self.read_quotas().get(workspace)
        balance = self._balances.get(workspace)
        if quota is None:
            return None
        if balance is None:
            balance = LocalBalance(quota)
            self._balances[workspace] = balance
        elif balance.quota != quota:
            balance.adopt(quota)
        return balance

    def apply(self, grant: Grant, source: str, reported: timedelta) -> bool:
        """Apply a grant; return whether it is newer than those before.

        Parameters
        ----------
        grant : Grant
            The grant.
        source : str
            Incarnation of the keeper.
        reported : timedelta
            Monotonic time of the report that it answers.
        """
        balance = self.find(grant.workspace)
        return balance is not None and balance.apply(grant, source, reported)

    def compose_reports(self, now: timedelta) -> Sequence[Report]:
        """Return the use of the workspaces that were used lately."""
        recent = sorted(
            (
                (balance.latest, name)
                for name, balance in self._balances.items()
                if balance.latest is not None
                and now - balance.latest <= REPORT_TERM
            ),
            reverse=True,
        )
        return [
            Report(name, self._balances[name].used)
            for _, name in recent[:MAX_REPORTS]
        ]
