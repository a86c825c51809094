"""Load shedding, so that a long queue does not make every answer late."""

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
    """Refuse calls whose first chunk is expected too late.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.
    random : Random
        Generator for the jitter of the retry delays.
    shares : WorkspaceShares
        Calls in flight by workspace.
    objectives : ObjectiveSource
        Goals for the time to the first chunk.
    """

    __slots__ = ('_clock', '_objectives', '_random', '_shares')

    def __init__(
        self,
        clock: Clock,
        random: Random,
        shares: WorkspaceShares,
        objectives: ObjectiveSource,
    ) -> None:
        """Store the collaborators."""
        self._objectives = objectives
        self._clock = clock
        self._random = random
        self._shares = shares

    def check(self, call: Call, decision: Decision) -> None:
        """Refuse ``call`` if its best candidate would answer too late.

        Every call is admitted while no queueing is expected.

        Raises
        ------
        WorkspaceShareError
            If the service is full and the workspace exceeds its share.
        OverloadedError
            If the best candidate is expected to answer too late.
        """
        best = decision.candidates[0]
        if best.wait <= ZERO_DURATION:
            return
        if self._shares.is_above_share(call):
            raise WorkspaceShareError(
                'the service is full and the workspace exceeds its share',
                self._jitter_retry_delay(best.wait),
            )
        objective = self._objectives.find_objective(call.service.name)
        limit = compute_admission_limit(objective)
        time_left = call.terms.deadline - self._clock.read_monotonic()
        if best.first > min(limit, time_left):
            raise OverloadedError(
                'the answer is expected too late',
                self._jitter_retry_delay(best.wait),
            )

    def _jitter_retry_delay(self, wait: timedelta) -> timedelta:
        max_jitter = MIN_RETRY_DELAY + wait * 2
        return MIN_RETRY_DELAY + max_jitter * self._random.random()
