"""Shedding before a queue makes every answer late."""

from datetime import timedelta
from random import Random

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.admission.workspaces import WorkspaceShares
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import OverloadedError, WorkspaceShareError
from baobabhinge_gateway.routing.decisions import Decision
from baobabhinge_gateway.routing.objective import (
    ObjectiveSource,
    compute_admission_limit,
)

ZERO_DURATION = timedelta()
MIN_RETRY_DELAY = timedelta(seconds=1)


class LoadShedder:
    """Refuse calls whose expected first piece comes too late.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.
    random : Random
        Generator that spreads the times at which callers come back.
    shares : WorkspaceShares
        Calls in flight by workspace.
    objectives : ObjectiveSource
        Times that count as in time.
    """

    __slots__ = ('_clock', '_objectives', '_random', '_shares')

    def __init__(
        self,
        clock: Clock,
        random: Random,
        shares: WorkspaceShares,
        objectives: ObjectiveSource,
    ) -> None:
        """Keep the parts."""
        self._objectives = objectives
        self._clock = clock
        self._random = random
        self._shares = shares

    def check(self, call: Call, decision: Decision) -> None:
        """Let ``call`` pass or refuse it.

        Raises
        ------
        WorkspaceShareError
            If the service is full and the workspace has more than its share.
        OverloadedError
            If the best candidate would answer too late.
        """
        best = decision.candidates[0]
        if best.wait <= ZERO_DURATION:
            return
        if self._shares.is_above_share(call):
            raise WorkspaceShareError(
                'the service is full and the workspace is above its share',
                self._spread(best.wait),
            )
        objective = self._objectives.find_objective(call.service.name)
        limit = compute_admission_limit(objective)
        rest = call.terms.deadline - self._clock.read_monotonic()
        if best.first > min(limit, rest):
            raise OverloadedError(
                'the answer would come too late',
                self._spread(best.wait),
            )

    def _spread(self, wait: timedelta) -> timedelta:
        longest = MIN_RETRY_DELAY + wait * 2
        return MIN_RETRY_DELAY + longest * self._random.random()
