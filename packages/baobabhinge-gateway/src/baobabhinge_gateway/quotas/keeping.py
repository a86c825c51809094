"""Accounts of the workspaces that this gateway keeps."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.quotas.accounts import (
    LONGEST_STEP,
    Account,
    StatedBalance,
)
from baobabhinge_gateway.quotas.credits import CreditLedger
from baobabhinge_gateway.quotas.elections import Election
from baobabhinge_gateway.quotas.messages import Balance, Grant, Report
from baobabhinge_gateway.quotas.policy import RegionQuota
from baobabhinge_gateway.quotas.votes import ELECTION_TIME

# An offered account has to be taken before another gateway can be elected.
OFFER_TERM = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)

QuotaReader = Callable[[], Mapping[str, RegionQuota]]


class KeptAccount(msgspec.Struct):
    """Account that this gateway keeps, or is going to keep.

    Parameters
    ----------
    began : timedelta
        Monotonic time since which most gateways hold this one for the keeper.
    updated : timedelta
        Monotonic time at which they were last known to.
    ledger : CreditLedger or None
        The account, once no other gateway can keep it.
    """

    began: timedelta
    updated: timedelta
    ledger: CreditLedger | None = None


class KeptAccounts:
    """Accounts of this gateway, by workspace.

    Parameters
    ----------
    election : Election
        Tells of which accounts this gateway is the keeper.
    read_quotas : callable
        Returns the part of the region in the quotas, by workspace.
    """

    __slots__ = ('_election', '_kept', '_offered', '_read_quotas', '_stated')

    def __init__(self, election: Election, read_quotas: QuotaReader) -> None:
        """Start without accounts."""
        self._election = election
        self._read_quotas = read_quotas
        self._kept: dict[str, KeptAccount] = {}
        self._stated: dict[str, StatedBalance] = {}
        self._offered: dict[str, timedelta] = {}

    def refresh(self, now: timedelta) -> Sequence[Balance]:
        """Bring all accounts up to date; return those that are kept."""
        for removed in self._kept.keys() - self._read_quotas().keys():
            self._kept.pop(removed)
        ledgers = [
            (workspace, self.open_ledger(workspace, now))
            for workspace in self._read_quotas()
        ]
        kept = [
            Balance(workspace, *ledger.account.window.summarize(now))
            for workspace, ledger in ledgers
            if ledger is not None
        ]
        self.record(kept, now)
        return kept

    def record(self, balances: Sequence[Balance], now: timedelta) -> None:
        """Record accounts that their keepers state."""
        for balance in balances:
            self._stated[balance.workspace] = StatedBalance(now, balance)

    def iterate_ended(self, now: timedelta) -> Iterator[tuple[str, Balance]]:
        """Iterate over accounts to hand over, and their next keepers."""
        for workspace, kept_account in tuple(self._kept.items()):
            keeper = self._election.find_keeper(workspace, now)
            is_kept = self._election.is_keeper(workspace, now)
            if kept_account.ledger and keeper is not None and not is_kept:
                self._kept.pop(workspace)
                window = kept_account.ledger.account.window
                yield keeper, Balance(workspace, *window.summarize(now))

    def take_over(
        self, balance: Balance, stated: timedelta, now: timedelta
    ) -> None:
        """Keep an account at once that its keeper has given up.

        Parameters
        ----------
        balance : Balance
            The account.
        stated : timedelta
            Monotonic time of the own statement after which it was given up;
            later, the gateway that gave it up may have been elected again.
        now : timedelta
            Monotonic time.
        """
        kept_account = self._kept.get(balance.workspace)
        if kept_account is None or kept_account.ledger is None:
            self.record([balance], now)
            self._offered[balance.workspace] = stated

    def open_ledger(
        self, workspace: str, now: timedelta
    ) -> CreditLedger | None:
        """Return the account of a workspace if this gateway keeps it.

        An interruption ends its time as the keeper only if another gateway may
        have been elected meanwhile.
        """
        quota = self._read_quotas().get(workspace)
        share = self._election.compute_share(workspace, now)
        kept_account = self._kept.get(workspace)
        if quota is None or not share:
            return None
        if kept_account is None or now - kept_account.updated > LONGEST_STEP:
            kept_account = KeptAccount(now, now)
            self._kept[workspace] = kept_account
        kept_account.updated = now
        if kept_account.ledger is None:
            offered = self._offered.get(workspace)
            if now - kept_account.began < find_election_time(offered, now):
                return None
            account = Account(quota, now, self._stated.get(workspace))
            kept_account.ledger = CreditLedger(account, now // MILLISECOND)
        if kept_account.ledger.account.quota != quota:
            kept_account.ledger.adopt(quota)
        kept_account.ledger.account.advance(now, share)
        return kept_account.ledger

    def answer(
        self,
        source: tuple[str, str],
        time: int,
        reports: Sequence[Report],
        now: timedelta,
    ) -> Iterator[Grant]:
        """Iterate over what is granted upon the reports of a gateway.

        Parameters
        ----------
        source : tuple of str
            Name and incarnation of the gateway.
        time : int
            Time of the reports, by its clock.
        reports : sequence of Report
            Its reports.
        now : timedelta
            Monotonic time.
        """
        for report in reports:
            ledger = self.open_ledger(report.workspace, now)
            if ledger is None:
                continue
            grant = ledger.answer(source, report, time, now)
            if grant is not None:
                yield grant


def find_election_time(offered: timedelta | None, now: timedelta) -> timedelta:
    """Return how long an election takes.

    Parameters
    ----------
    offered : timedelta or None
        Monotonic time for which the account was offered by its last keeper.
    now : timedelta
        Monotonic time.
    """
    if offered is not None and now - offered < OFFER_TERM:
        return timedelta()
    return ELECTION_TIME
