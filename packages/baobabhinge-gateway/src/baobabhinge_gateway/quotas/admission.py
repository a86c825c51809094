"""Waiting of calls for units of their workspaces."""

import asyncio
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.quotas.elections import Election
from baobabhinge_gateway.quotas.local_balances import LocalBalance
from baobabhinge_gateway.quotas.metrics import QuotaMetrics
from baobabhinge_gateway.quotas.section import QuotaSection
from baobabhinge_gateway.quotas.waiting_calls import Ticket, WaitingCalls

ASK_TIMEOUT = timedelta(milliseconds=50)
ASKS = 2
# Calls that arrive in this time ask together.
BATCH_TIME = timedelta(milliseconds=2)
NO_TIME = timedelta()


class AdmissionParts(msgspec.Struct, frozen=True):
    """What admission depends on.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.
    election : Election
        Knows the gateways of the region.
    metrics : QuotaMetrics
        Counts calls and questions.
    """

    clock: Clock
    election: Election
    metrics: QuotaMetrics


class Admission:
    """Admit calls at once, or let them wait for an answer of the keeper.

    Parameters
    ----------
    parts : AdmissionParts
        What admission depends on.
    section : QuotaSection
        Asks keepers.
    """

    __slots__ = ('_asking', '_parts', '_section', '_waiting')

    def __init__(self, parts: AdmissionParts, section: QuotaSection) -> None:
        """Start without calls."""
        self._parts = parts
        self._section = section
        self._waiting: dict[str, WaitingCalls] = {}
        self._asking: set[str] = set()
        section.on_grant = self._settle

    async def decide(
        self,
        workspace: str,
        balance: LocalBalance,
        units: float,
        patience: timedelta,
    ) -> Ticket:
        """Return whether a call is admitted.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        balance : LocalBalance
            Units of the workspace.
        units : float
            Units of the call.
        patience : timedelta
            Time for which it waits at most.
        """
        waiting = self._waiting.setdefault(workspace, WaitingCalls(balance))
        ended = asyncio.Event()
        ticket = Ticket(units, ended.set)
        if waiting.enter(ticket, self._parts.clock.read_monotonic()):
            await self._wait(workspace, ended, patience)
        if not ticket.has_ended:
            now = self._parts.clock.read_monotonic()
            gateways = len(self._parts.election.refresh(now).known)
            waiting.give_up(ticket, gateways, now)
        self._parts.metrics.count_call(workspace, is_granted=ticket.is_admitted)
        return ticket

    async def _wait(
        self, workspace: str, ended: asyncio.Event, patience: timedelta
    ) -> None:
        """Ask up to twice until a call is admitted or refused."""
        for number in range(ASKS):
            left = patience - number * ASK_TIMEOUT
            if left <= NO_TIME:
                return
            self._schedule(workspace)
            try:
                async with asyncio.timeout(
                    min(left, ASK_TIMEOUT).total_seconds()
                ):
                    await ended.wait()
            except TimeoutError:
                self._parts.metrics.count_unanswered(workspace)
            else:
                return

    def _schedule(self, workspace: str) -> None:
        """Ask in a short while, for all calls that wait by then."""
        if workspace not in self._asking:
            self._asking.add(workspace)
            asyncio.get_running_loop().call_later(
                BATCH_TIME.total_seconds(), self._ask, workspace
            )

    def _ask(self, workspace: str) -> None:
        self._asking.discard(workspace)
        report = self._waiting[workspace].compose_report(workspace)
        if report is not None:
            self._parts.metrics.count_ask(workspace)
            self._section.ask(report)

    def _settle(self, workspace: str, wait: timedelta) -> None:
        waiting = self._waiting.get(workspace)
        now = self._parts.clock.read_monotonic()
        if waiting is not None and waiting.settle(wait, now):
            self._schedule(workspace)
