"""Transfers of units between the keepers of a workspace in several regions.

Load pattern: the rate of one region after another grows to the threefold
within seconds, while the sum of all regions hardly changes.
"""

from collections.abc import Iterator, Sequence
from datetime import timedelta

import msgspec

from baobabhinge_gateway.neighbours import SectionSender
from baobabhinge_gateway.quotas.credits import CreditLedger
from baobabhinge_gateway.quotas.keeper_messages import (
    Transfer,
    TransferRequest,
)
from baobabhinge_gateway.quotas.messages import Balance

# Above the time of a question and its answer between regions.
REQUEST_INTERVAL = timedelta(milliseconds=250)
# A transfer that arrives later was written off.
TRANSFER_TERM = timedelta(seconds=2)
# Three heartbeats between regions.
KEEPER_TERM = timedelta(seconds=3)
# Seconds of its demand below which a keeper asks.
WANTED_SPAN = 1.0
# Of all that a region may grant in a window, what it keeps for a rise of its
# own rate, which takes some seconds.
KEPT_PART = 0.03
# From one transfer to the next, in seconds.
TRANSFER_SPAN = 0.3
# Of the difference between two regions, what is given.
GIVEN_PART = 0.5
MODULUS = 1 << 32


class RemoteKeeper(msgspec.Struct):
    """Keeper of one workspace in another region.

    Parameters
    ----------
    name : str
        Name of the gateway.
    heard : timedelta
        Monotonic time at which it told that it keeps the account.
    asked : timedelta or None
        Monotonic time at which it was asked last.
    """

    name: str
    heard: timedelta
    asked: timedelta | None = None

    def is_due(self, now: timedelta) -> bool:
        """Return whether it may be asked."""
        if now - self.heard > KEEPER_TERM:
            return False
        return self.asked is None or now - self.asked >= REQUEST_INTERVAL


class TransferExchange:
    """Ask other regions for units, and give them units.

    A region gives units up before it sends them, so that a lost message loses
    them; an answer is applied once.
    """

    __slots__ = ('_keepers', '_number', '_pending')

    def __init__(self) -> None:
        """Start without other regions."""
        self._keepers: dict[tuple[str, str], RemoteKeeper] = {}
        self._pending: dict[int, timedelta] = {}
        self._number = 0

    def record_keepers(
        self, sender: SectionSender, kept: Sequence[Balance], now: timedelta
    ) -> None:
        """Record which accounts a gateway of another region keeps."""
        for balance in kept:
            key = (balance.workspace, sender.region)
            keeper = self._keepers.get(key)
            if keeper is None or keeper.name != sender.name:
                self._keepers[key] = RemoteKeeper(sender.name, now)
            else:
                keeper.heard = now

    def iterate_requests(
        self, workspace: str, ledger: CreditLedger, now: timedelta
    ) -> Iterator[tuple[str, TransferRequest]]:
        """Iterate over keepers of other regions and what they are asked for.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        ledger : CreditLedger
            Its account in this region.
        now : timedelta
            Monotonic time.
        """
        short = _compute_wanted(ledger) - ledger.account.room
        if short <= 0:
            return
        for (name, _), keeper in self._keepers.items():
            if name == workspace and keeper.is_due(now):
                keeper.asked = now
                self._number = (self._number + 1) % MODULUS
                self._pending[self._number] = now
                ledger.missing = 0
                yield (
                    keeper.name,
                    TransferRequest(
                        workspace,
                        self._number,
                        short,
                        _project_room(ledger),
                    ),
                )

    def give(
        self, request: TransferRequest, ledger: CreditLedger
    ) -> Transfer | None:
        """Return what the account of this region gives, if it is anything."""
        spare = min(
            (_project_room(ledger) - request.room) * GIVEN_PART,
            ledger.account.room - _compute_kept(ledger),
        )
        units = ledger.account.take_spare(min(request.units, spare), 1)
        if units <= 0:
            return None
        return Transfer(request.workspace, request.number, units)

    def accept(self, transfer: Transfer, now: timedelta) -> bool:
        """Return whether the units may be added; they may be only once."""
        start = now - TRANSFER_TERM
        for number, asked in tuple(self._pending.items()):
            if asked < start:
                self._pending.pop(number)
        return self._pending.pop(transfer.number, None) is not None


def _compute_kept(ledger: CreditLedger) -> float:
    """Return the room that an account does not give away."""
    quota = ledger.account.quota
    most = quota.stock + quota.rate * quota.window
    return quota.reserve + ledger.demand * WANTED_SPAN + most * KEPT_PART


def _project_room(ledger: CreditLedger) -> float:
    """Return the room that is left when the next transfer may arrive."""
    used = ledger.demand * TRANSFER_SPAN
    return ledger.account.room - used


def _compute_wanted(ledger: CreditLedger) -> float:
    """Return the room below which an account asks other regions."""
    demand = ledger.demand * WANTED_SPAN
    largest = max(ledger.largest, ledger.missing)
    return ledger.account.quota.reserve + largest + demand
