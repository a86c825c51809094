"""Answers of a keeper to the gateways of its region and to other keepers."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from baobabhinge_gateway.neighbours import SectionSender
from baobabhinge_gateway.quotas.elections import Election
from baobabhinge_gateway.quotas.keeper_messages import (
    Handover,
    QuotaMessage,
    Transfer,
    TransferRequest,
)
from baobabhinge_gateway.quotas.keeping import KeptAccounts
from baobabhinge_gateway.quotas.messages import Balance, Grants, Report
from baobabhinge_gateway.quotas.transfers import TransferExchange

MessageSender = Callable[[QuotaMessage, str], None]


class KeeperAnswers:
    """Answers of this gateway as the keeper of accounts.

    Parameters
    ----------
    election : Election
        Finds keepers.
    accounts : KeptAccounts
        Accounts that this gateway keeps.
    send : callable
        Sends a message to the gateway of a name.

    Attributes
    ----------
    accounts : KeptAccounts
        Accounts that this gateway keeps.
    transfers : TransferExchange
        Transfers between regions.
    """

    __slots__ = ('_election', '_send', 'accounts', 'transfers')

    def __init__(
        self, election: Election, accounts: KeptAccounts, send: MessageSender
    ) -> None:
        """Start without knowledge of other regions."""
        self._election = election
        self._send = send
        self.accounts = accounts
        self.transfers = TransferExchange()

    def refresh(self, now: timedelta) -> Sequence[Balance]:
        """Bring all accounts up to date; return those that are kept."""
        self.hand_over(now)
        kept = self.accounts.refresh(now)
        for balance in kept:
            self.request(balance.workspace, now)
        return kept

    def hand_over(self, now: timedelta) -> None:
        """Give up the accounts of which another gateway is the keeper now."""
        for keeper, balance in self.accounts.iterate_ended(now):
            vote = self._election.votes.votes.get(keeper)
            if vote is not None:
                self._send(Handover(balance, vote.time), keeper)

    def answer(
        self,
        sender: SectionSender,
        time: int,
        reports: Sequence[Report],
        now: timedelta,
    ) -> Grants | None:
        """Return the answer to the reports of a gateway, if there is any.

        Parameters
        ----------
        sender : SectionSender
            Gateway that reports.
        time : int
            Time of the reports, by its clock.
        reports : sequence of Report
            Its reports; those on accounts of other keepers are ignored.
        now : timedelta
            Monotonic time.
        """
        kept = [
            report
            for report in reports
            if self._election.is_keeper(report.workspace, now)
        ]
        if not kept:
            return None
        source = (sender.name, sender.incarnation)
        grants = list(self.accounts.answer(source, time, kept, now))
        for report in kept:
            self.request(report.workspace, now)
        return Grants(sender.incarnation, time, grants) if grants else None

    def request(self, workspace: str, now: timedelta) -> None:
        """Ask other regions for units if the account is short of them."""
        ledger = self.accounts.open_ledger(workspace, now)
        if ledger is None:
            return
        due = self.transfers.iterate_requests(workspace, ledger, now)
        for keeper, request in due:
            self._send(request, keeper)

    def transfer(
        self,
        sender: SectionSender,
        message: TransferRequest | Transfer | Handover,
        now: timedelta,
    ) -> None:
        """Give units to another keeper, or take those that it gives."""
        if isinstance(message, Handover):
            stated = timedelta(milliseconds=message.time)
            self.accounts.take_over(message.balance, stated, now)
            return
        ledger = self.accounts.open_ledger(message.workspace, now)
        if ledger is None:
            return
        if isinstance(message, Transfer):
            if self.transfers.accept(message, now):
                ledger.account.add(message.units)
            return
        given = self.transfers.give(message, ledger)
        if given is not None:
            self._send(given, sender.name)
