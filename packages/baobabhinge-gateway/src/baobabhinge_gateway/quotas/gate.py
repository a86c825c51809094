"""Gate that admits calls within the quotas of their workspaces."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from random import Random

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.deployment import QuotaUnit, Route, Workspace
from baobabhinge_gateway.forwarding.call import Call, CallHead
from baobabhinge_gateway.quotas.admission import (
    ASK_TIMEOUT,
    ASKS,
    NO_TIME,
    Admission,
)
from baobabhinge_gateway.quotas.credit_table import CreditTable
from baobabhinge_gateway.quotas.errors import QuotaError

# Of the objective of a call, what it waits at most.
WAIT_PART = 1 / 8
LONGEST_RETRY = timedelta(seconds=4)
# Retries of refused calls do not arrive together.
RETRY_SPREAD = timedelta(milliseconds=500)


class QuotaGate:
    """Admit calls within the quotas of their workspaces.

    Parameters
    ----------
    admission : Admission
        Admits or refuses calls.
    credit_table : CreditTable
        Units that this gateway may use.
    clock : Clock
        Monotonic clock.
    random : Random
        Spreads retries.
    """

    __slots__ = ('_admission', '_clock', '_credit_table', '_random')

    def __init__(
        self,
        admission: Admission,
        credit_table: CreditTable,
        clock: Clock,
        random: Random,
    ) -> None:
        """Store the collaborators."""
        self._admission = admission
        self._credit_table = credit_table
        self._clock = clock
        self._random = random

    def check_head(self, head: CallHead, route: Route) -> None:
        """Refuse nothing: the workspace is not known yet."""

    @asynccontextmanager
    async def admit(self, call: Call) -> AsyncIterator[None]:
        """Hold the units of a call while it is dispatched.

        Raises
        ------
        QuotaError
            If the quota of the workspace is used up.
        """
        workspace = call.workspace
        balance = None
        if workspace is not None:
            balance = self._credit_table.find(workspace.name)
        if workspace is None or balance is None:
            yield
            return
        ticket = await self._admission.decide(
            workspace.name,
            balance,
            count_units(call, workspace),
            call.route.objective * WAIT_PART or ASKS * ASK_TIMEOUT,
        )
        if not ticket.is_admitted:
            raise self._describe(ticket.wait or NO_TIME)
        admitted = self._clock.read_monotonic()
        try:
            yield
        finally:
            if ticket.is_returnable and not call.runs:
                now = self._clock.read_monotonic()
                balance.restore(ticket.units, now - admitted)

    def _describe(self, wait: timedelta) -> QuotaError:
        """Return a refusal with a time after which there may be units."""
        spread = 1 + self._random.random()
        return QuotaError(
            'the quota of the workspace is used up',
            min(LONGEST_RETRY, wait * spread)
            + RETRY_SPREAD * self._random.random(),
        )


def count_units(call: Call, workspace: Workspace) -> float:
    """Return what a call counts against the quota of its workspace."""
    quota = workspace.quota
    if quota is None or quota.unit is QuotaUnit.requests:
        return 1
    demand = call.head.demand
    if demand is None:
        return quota.plain_units
    return demand.prompt + demand.output
