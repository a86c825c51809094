"""Attempts of one call: the next target, or the caller error."""

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
    """Choose the targets of one call that may be repeated.

    No target is tried twice. A gateway of a remote region that failed is added
    to the hops of the call, so that no later attempt returns to its region.

    Parameters
    ----------
    call : Call
        Call to run.
    router : Router
        Ranks the targets of the call.
    budget : RetryBudget
        Limit on retries.
    isolation : Isolation
        Separates calls that may have crashed an engine from other calls.

    Attributes
    ----------
    call : Call
        Call with the hops that earlier attempts have tried.
    failures : Failures
        Failed attempts so far.
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
        """Start without attempts."""
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
            If no candidate is left or no retry is allowed; it is the
            caller error.
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
        """Record that ``target`` gave no complete answer."""
        if isinstance(failure, NoBackendServerError):
            return
        if isinstance(failure, ModelNotLoadedError) and not target.is_remote:
            self.failures.record_refusal(failure)
            return
        self.failures.count_failure(failure)
        self._ranked = ()
        if target.is_remote:
            tried = Hop(target.vm.name, target.vm.region)
            self.call = self.call.add_tried(tried)

    def _find_candidate(self) -> Candidate:
        if not self._ranked:
            self._ranked = self._decide().candidates
        chosen = self._choose(
            [
                candidate
                for candidate in self._ranked
                if candidate.target.vm.name not in self._tried
                and not _is_in_tried_region(candidate.target, self.call)
            ],
        )
        if chosen is not None:
            return chosen
        raise self.failures.caller_error or NoBackendServerError(
            'no backend server is left to try',
        )

    def _choose(self, untried: Sequence[Candidate]) -> Candidate | None:
        try:
            return self._isolation.choose(self.call, untried)
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
        has_attempts_left = self.failures.count < MAX_ATTEMPTS
        if not (has_attempts_left and self._budget.withdraw(target.vm.role)):
            raise caller_error


def _is_in_tried_region(target: RoutingTarget, call: Call) -> bool:
    return target.is_remote and call.hops.has_region(target.vm.region)
