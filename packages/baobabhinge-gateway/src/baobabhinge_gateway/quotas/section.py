"""Exchange of use, grants and transfers with other gateways."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.neighbours import SectionSender
from baobabhinge_gateway.quotas.credit_table import CreditTable
from baobabhinge_gateway.quotas.elections import Election
from baobabhinge_gateway.quotas.keeper_answers import KeeperAnswers
from baobabhinge_gateway.quotas.keeper_messages import QuotaMessage
from baobabhinge_gateway.quotas.keeping import KeptAccounts
from baobabhinge_gateway.quotas.messages import (
    Ask,
    Balance,
    Grants,
    Report,
    Statement,
)

MILLISECOND = timedelta(milliseconds=1)

PayloadSender = Callable[[bytes, str], None]
GrantHandler = Callable[[str, timedelta], None]


class QuotaParts(msgspec.Struct, frozen=True):
    """Decisions of one gateway on quotas.

    Parameters
    ----------
    own : SectionSender
        This gateway.
    clock : Clock
        Monotonic clock.
    election : Election
        Finds keepers.
    credit_table : CreditTable
        Units that the gateway may use.
    """

    own: SectionSender
    clock: Clock
    election: Election
    credit_table: CreditTable


class QuotaSection:
    """Section of heartbeats, and messages between gateways.

    Parameters
    ----------
    parts : QuotaParts
        Decisions of the gateway.
    send : callable
        Sends an encoded message to the gateway of a name.

    Attributes
    ----------
    name : str
        Name of the section.
    on_grant : callable or None
        Called with a workspace and a time to wait after each answer of its
        keeper; that time is zero unless units were refused.
    """

    __slots__ = ('_answers', '_parts', '_send', 'name', 'on_grant')

    def __init__(self, parts: QuotaParts, send: PayloadSender) -> None:
        """Start without knowledge of other gateways."""
        self.name = 'quotas'
        self.on_grant: GrantHandler | None = None
        self._parts = parts
        self._send = send
        self._answers = KeeperAnswers(
            parts.election,
            KeptAccounts(parts.election, parts.credit_table.read_quotas),
            self._transmit,
        )

    def compose(self, region: str) -> bytes | None:
        """Return use and votes for the own region, kept accounts for others."""
        if not self._parts.credit_table.read_quotas():
            return None
        now = self._parts.clock.read_monotonic()
        vote = self._parts.election.announce(now)
        kept = self._answers.refresh(now)
        if region != self._parts.own.region:
            names = [Balance(balance.workspace) for balance in kept]
            return msgspec.msgpack.encode(
                Statement(now // MILLISECOND, kept=names, is_local=False)
            )
        statement = Statement(
            now // MILLISECOND,
            sorted(vote.unheard),
            self._parts.credit_table.compose_reports(now),
            kept,
            vote.may_keep,
        )
        self._apply(
            self._parts.own,
            self._answers.answer(
                self._parts.own, statement.time, statement.reports, now
            ),
        )
        return msgspec.msgpack.encode(statement)

    def receive(self, sender: SectionSender, payload: bytes) -> None:
        """Apply what another gateway states."""
        statement = msgspec.msgpack.decode(payload, type=Statement)
        now = self._parts.clock.read_monotonic()
        if sender.region != self._parts.own.region:
            self._answers.transfers.record_keepers(sender, statement.kept, now)
            return
        if not statement.is_local:
            return
        if self._parts.election.record(sender, statement, now):
            self._answers.hand_over(now)
        self._answers.accounts.record(statement.kept, now)
        answer = self._answers.answer(
            sender, statement.time, statement.reports, now
        )
        if answer is not None:
            self._transmit(answer, sender.name)

    def receive_message(
        self, sender: SectionSender, payload: bytes, source: tuple[str, int]
    ) -> None:
        """Apply a message that another gateway sent to this one alone."""
        message = msgspec.msgpack.decode(payload, type=QuotaMessage)
        now = self._parts.clock.read_monotonic()
        if isinstance(message, Ask):
            answer = self._answers.answer(
                sender, message.time, message.reports, now
            )
            if answer is not None:
                self._transmit(answer, sender.name)
        elif isinstance(message, Grants):
            self._apply(sender, message)
        else:
            self._answers.transfer(sender, message, now)

    def ask(self, report: Report) -> None:
        """Ask the keeper of a workspace for units."""
        own = self._parts.own
        now = self._parts.clock.read_monotonic()
        time = now // MILLISECOND
        keeper = self._parts.election.find_keeper(report.workspace, now)
        if keeper == own.name:
            self._apply(own, self._answers.answer(own, time, [report], now))
        elif keeper is not None:
            self._transmit(Ask(time, [report]), keeper)

    def _apply(self, sender: SectionSender, answer: Grants | None) -> None:
        """Apply what the keeper grants to this process."""
        incarnation = self._parts.own.incarnation
        if answer is None or answer.incarnation != incarnation:
            return
        now = self._parts.clock.read_monotonic()
        for grant in answer.grants:
            keeper = self._parts.election.find_keeper(grant.workspace, now)
            is_new = keeper == sender.name and self._parts.credit_table.apply(
                grant, sender.incarnation, answer.time * MILLISECOND
            )
            if is_new and self.on_grant is not None:
                self.on_grant(grant.workspace, grant.wait_ms * MILLISECOND)

    def _transmit(self, message: QuotaMessage, name: str) -> None:
        self._send(msgspec.msgpack.encode(message), name)
