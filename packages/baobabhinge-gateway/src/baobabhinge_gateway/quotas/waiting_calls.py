"""Calls of one workspace that wait for units at this gateway."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta

import msgspec

from baobabhinge_gateway.quotas.local_balances import LocalBalance
from baobabhinge_gateway.quotas.messages import Report

# A refusal holds for so long for calls of at least its size. Units of other
# regions may arrive then.
REFUSAL_TERM = timedelta(milliseconds=250)
# While a keeper does not answer, one call in this time waits for it.
TRIAL_INTERVAL = timedelta(milliseconds=300)
# Told to calls that no keeper answers: the next one begins after some seconds.
UNANSWERED_WAIT = timedelta(seconds=1)
NO_TIME = timedelta()


class Ticket(msgspec.Struct):
    """Call that needs units.

    Parameters
    ----------
    units : float
        Units that it needs.
    on_end : callable
        Called once the call is admitted or refused.
    is_admitted : bool
        Whether it is admitted.
    is_returnable : bool
        Whether its units can be given back if it does not run.
    wait : timedelta or None
        Time until there may be units for it, if it is refused.
    """

    units: float
    on_end: Callable[[], None]
    is_admitted: bool = False
    is_returnable: bool = True
    wait: timedelta | None = None

    @property
    def has_ended(self) -> bool:
        """Whether it is admitted or refused."""
        return self.is_admitted or self.wait is not None


class WaitingCalls:
    """Calls of one workspace that wait for units, in their order.

    Parameters
    ----------
    balance : LocalBalance
        Units of the workspace.

    Attributes
    ----------
    balance : LocalBalance
        Units of the workspace.
    """

    __slots__ = ('_refusal', '_refused_until', '_tickets', '_trial', 'balance')

    def __init__(self, balance: LocalBalance) -> None:
        """Start without calls."""
        self.balance = balance
        self._tickets: deque[Ticket] = deque()
        self._refusal = Ticket(0, _ignore)
        self._refused_until = NO_TIME
        self._trial: timedelta | None = None

    def enter(self, ticket: Ticket, now: timedelta) -> bool:
        """Admit a call, refuse it or let it wait; return whether it waits.

        Parameters
        ----------
        ticket : Ticket
            The call.
        now : timedelta
            Monotonic time.
        """
        if self.balance.spend(ticket.units, now):
            ticket.is_admitted = True
            return False
        refused = self._refusal
        if now < self._refused_until and ticket.units >= refused.units:
            ticket.wait = refused.wait
            return False
        if self._trial is not None:
            if now - self._trial < TRIAL_INTERVAL:
                return False
            self._trial = now
        self._tickets.append(ticket)
        return True

    def compose_report(self, workspace: str) -> Report | None:
        """Return the need of the calls that wait, or ``None`` without any."""
        if not self._tickets:
            return None
        first = self._tickets[0].units
        rest = sum(ticket.units for ticket in self._tickets) - first
        return Report(workspace, self.balance.used, first, rest)

    def settle(self, wait: timedelta, now: timedelta) -> bool:
        """Admit what the units suffice for; return whether calls wait on.

        Parameters
        ----------
        wait : timedelta
            Time until there may be units for the first call that is not
            admitted; zero if it was not refused.
        now : timedelta
            Monotonic time.
        """
        self._trial = None
        while self._tickets:
            first = self._tickets[0]
            if self.balance.spend(first.units, now):
                first.is_admitted = True
            elif wait:
                first.wait = wait
                self._refusal = first
                self._refused_until = now + min(wait, REFUSAL_TERM)
                wait = NO_TIME
            else:
                break
            self._tickets.popleft()
            first.on_end()
        return bool(self._tickets)

    def give_up(self, ticket: Ticket, gateways: int, now: timedelta) -> None:
        """Admit a call from the fallback, or refuse it: no keeper answers.

        Parameters
        ----------
        ticket : Ticket
            The call.
        gateways : int
            Gateways of the region.
        now : timedelta
            Monotonic time.
        """
        if ticket in self._tickets:
            self._tickets.remove(ticket)
            self._trial = now
        if self.balance.fallback.take(ticket.units, gateways, now):
            ticket.is_admitted = True
            ticket.is_returnable = False
        else:
            ticket.wait = UNANSWERED_WAIT


def _ignore() -> None:
    """Do nothing at the end of a call."""
