"""Attempts of one call: which target is next, and what the caller is told."""

from collections.abc import Sequence

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_gateway.calls import Call, Hop
from baobabhinge_gateway.errors import (
    CallError,
    CrashingRequestError,
    EngineCrashedError,
    ModelNotLoadedError,
    NoBackendServerError,
)
from baobabhinge_gateway.execution.failures import Failures
from baobabhinge_gateway.routing import Router, RoutingTarget
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
    failures : Failures
        Failures so far.
    """

    __slots__ = (
        '_budget',
        '_isolation',
        '_ranked',
        '_router',
        '_tried',
        'call',
        'failures',
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
        self._ranked: tuple[Candidate, ...] = ()
        self.failures = Failures()

    def choose_candidate(self) -> Candidate:
        """Return the next candidate.

        Raises
        ------
        CallError
            If there is none, or no retry is allowed: what the caller is told.
        """
        if self.failures.caller_error is not None and self.failures.is_final:
            raise self.failures.caller_error
        candidate = self._find_candidate()
        target = candidate.target
        if self.failures.count:
            self._check_retry(target)
        elif not self._tried:
            self._budget.deposit(target.vm.role)
        self._tried.add(target.vm.name)
        return candidate

    def record_failure(self, target: RoutingTarget, failure: CallError) -> None:
        """Note that ``target`` gave no whole answer."""
        if isinstance(failure, NoBackendServerError):
            return
        if isinstance(failure, ModelNotLoadedError) and not target.is_remote:
            self.failures.record_refusal(failure)
            return
        self.failures.count_failure(failure)
        self._ranked = ()
        if target.is_remote:
            passed = Hop(target.vm.name, target.vm.region)
            self.call = self.call.add_tried(passed)

    def _find_candidate(self) -> Candidate:
        if not self._ranked:
            self._ranked = self._decide().candidates
        chosen = self._choose(
            [
                candidate
                for candidate in self._ranked
                if candidate.target.vm.name not in self._tried
                and not _is_passed(candidate.target, self.call)
            ],
        )
        if chosen is not None:
            return chosen
        raise self.failures.caller_error or NoBackendServerError(
            'no backend server could be reached',
        )

    def _choose(self, unspent: Sequence[Candidate]) -> Candidate | None:
        try:
            return self._isolation.choose(self.call, unspent)
        except CrashingRequestError as refused:
            raise self.failures.choose_caller_error(refused) from refused

    def _decide(self) -> Decision:
        try:
            return self._router.decide(self.call)
        except CallError as refused:
            raise self.failures.caller_error or refused from refused

    def _check_retry(self, target: RoutingTarget) -> None:
        caller_error = self.failures.caller_error
        if caller_error is None or isinstance(caller_error, EngineCrashedError):
            return
        is_early = self.failures.count < MAX_ATTEMPTS
        if not (is_early and self._budget.withdraw(target.vm.role)):
            raise caller_error


def _is_passed(target: RoutingTarget, call: Call) -> bool:
    return target.is_remote and call.hops.has_region(target.vm.region)
