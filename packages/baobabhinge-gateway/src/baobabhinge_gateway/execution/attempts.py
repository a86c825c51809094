"""Attempts of one call: which target is next, and what the caller is told."""

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_gateway.calls import Call, Hop
from baobabhinge_gateway.errors import (
    CallError,
    CrashingRequestError,
    EngineCrashedError,
    NoBackendServerError,
    Outcome,
)
from baobabhinge_gateway.routing import Router, Target
from baobabhinge_gateway.routing.decisions import Candidate, Decision
from baobabhinge_gateway.suspects import Isolation

MAX_ATTEMPTS = 3


class Attempts:
    """Choose targets for one call that may be repeated.

    No target is tried twice. A gateway that took the call is noted among the
    places passed, so that no later attempt comes back to it or its region.

    Parameters
    ----------
    call : Call
        The call.
    router : Router
        Finder of targets.
    budget : RetryBudget
        Bound on repeated work.
    isolation : Isolation
        Keeps apart the calls that may have crashed an engine.

    Attributes
    ----------
    call : Call
        The call with the places that earlier attempts have passed.
    """

    __slots__ = (
        '_budget',
        '_failure',
        '_is_final',
        '_isolation',
        '_ranked',
        '_router',
        '_runs',
        '_tried',
        'call',
    )

    def __init__(
        self,
        call: Call,
        router: Router,
        budget: RetryBudget,
        isolation: Isolation,
    ) -> None:
        """Start with nothing tried."""
        self.call = call
        self._router = router
        self._budget = budget
        self._isolation = isolation
        self._tried: set[str] = set()
        self._runs = 0
        self._is_final = False
        self._ranked: tuple[Candidate, ...] = ()
        self._failure: CallError | None = None

    def choose_candidate(self) -> Candidate:
        """Return the next candidate.

        Raises
        ------
        CallError
            If there is none, or no retry is allowed: what the caller is told.
        """
        if self._failure is not None and self._is_final:
            raise self._failure
        candidate = self._find_candidate()
        target = candidate.target
        if self._runs:
            self._check_retry(target)
        elif not self._tried:
            self._budget.deposit(target.vm.role)
        self._tried.add(target.vm.name)
        return candidate

    def record_failure(self, target: Target, failure: CallError) -> None:
        """Note that ``target`` gave no whole answer."""
        if isinstance(failure, NoBackendServerError):
            return
        self._runs += 1
        self._ranked = ()
        if failure.code == CrashingRequestError.code:
            self._is_final = True
        if self._failure is None or failure.outcome is Outcome.unknown:
            self._failure = failure
        if target.is_remote:
            passed = Hop(target.vm.name, target.vm.region)
            self.call = self.call.add_tried(passed)

    def _find_candidate(self) -> Candidate:
        if not self._ranked:
            self._ranked = self._decide().candidates
        unspent = [
            candidate
            for candidate in self._ranked
            if not self._is_spent(candidate.target)
        ]
        chosen = self._isolation.choose(self.call, unspent)
        if chosen is not None:
            return chosen
        raise self._failure or NoBackendServerError(
            'no backend server could be reached',
        )

    def _is_spent(self, target: Target) -> bool:
        if target.vm.name in self._tried:
            return True
        return target.is_remote and self.call.hops.has_region(target.vm.region)

    def _decide(self) -> Decision:
        try:
            return self._router.decide(self.call)
        except CallError as refused:
            raise self._failure or refused from refused

    def _check_retry(self, target: Target) -> None:
        if isinstance(self._failure, EngineCrashedError):
            return
        is_allowed = self._runs < MAX_ATTEMPTS and self._budget.withdraw(
            target.vm.role,
        )
        if self._failure is not None and not is_allowed:
            raise self._failure
