"""Targets that are tried for one call, and the resulting caller error."""

from datetime import timedelta

import pytest

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_gateway.calls import Call, CallTerms, Hop, HopList
from baobabhinge_gateway.errors import (
    AnswerBrokenError,
    CallError,
    CrashingRequestError,
    DeadlinePassedError,
    DrainingError,
    EngineCrashedError,
    NoBackendServerError,
    Outcome,
)
from baobabhinge_gateway.errors.problem import build_problem
from baobabhinge_gateway.errors.relayed import RelayedProblemError
from baobabhinge_gateway.errors.unavailable import ModelNotLoadedError
from baobabhinge_gateway.execution.attempts import Attempts
from baobabhinge_gateway.routing import Candidate, RoutingTarget
from baobabhinge_gateway.routing.decisions import Decision
from baobabhinge_platform.machines import Role, Vm

BROKEN = AnswerBrokenError('broken')
CRASHED = EngineCrashedError('died')
DRAINING = DrainingError('leaving')
UNLOADED = ModelNotLoadedError('unloaded')
EXPIRED = DeadlinePassedError('late')
CRASHED_REMOTELY = RelayedProblemError(build_problem(CRASHED))
CRASHING = CrashingRequestError(Outcome.not_run)


def build_candidate(name, region):
    role = Role.engine if region == 'west' else Role.gateway
    vm = Vm(name, '127.0.0.1:1', region, f'{region}-a', role)
    return Candidate(RoutingTarget(vm, region != 'west', 0))


CANDIDATES = (
    build_candidate('e1', 'west'),
    build_candidate('e2', 'west'),
    build_candidate('g1', 'east'),
    build_candidate('g2', 'east'),
    build_candidate('g3', 'south'),
)


class FixedRouter:
    def decide(self, call):
        return Decision(CANDIDATES)


class NoIsolation:
    def choose(self, call, candidates):
        return candidates[0] if candidates else None


def start_attempts(budget=None):
    call = Call(
        request_id='r1',
        service=None,
        method='POST',
        path='/',
        headers=(),
        body=b'',
        terms=CallTerms(timedelta(seconds=1)),
        hops=HopList((Hop('w1', 'west'),)),
    )
    ample = RetryBudget(retry_fraction=1, burst=9)
    return Attempts(call, FixedRouter(), budget or ample, NoIsolation())


def run(attempts, failures):
    """Return the targets tried and the caller error."""
    tried = []
    for failure in failures:
        candidate = attempts.choose_candidate()
        tried.append(candidate.target.vm.name)
        attempts.record_failure(candidate.target, failure)
    try:
        attempts.choose_candidate()
    except CallError as error:
        return tried, error
    raise AssertionError('one more attempt was allowed')


@pytest.mark.parametrize(
    ('failures', 'code', 'outcome'),
    [
        ([DRAINING, DRAINING, DRAINING], 'draining', 'not-run'),
        ([BROKEN, DRAINING, DRAINING], 'answer-broken', 'unknown'),
        ([DRAINING, BROKEN, DRAINING], 'answer-broken', 'unknown'),
        ([EXPIRED], 'deadline-passed', 'not-run'),
        ([BROKEN, EXPIRED], 'answer-broken', 'unknown'),
        ([CRASHED_REMOTELY], 'engine-crashed', 'unknown'),
        ([CRASHING], 'crashing-request', 'not-run'),
        ([CRASHED, CRASHING], 'crashing-request', 'unknown'),
    ],
)
def test_a_call_that_may_have_run_is_not_reported_as_not_run(
    failures,
    code,
    outcome,
):
    """A later refusal that says not-run must not hide an unknown outcome."""
    _, error = run(start_attempts(), failures)
    assert error.code == code
    assert error.outcome == outcome


def test_no_target_and_no_remote_region_is_tried_twice():
    """After a gateway fails, others of its region are not tried."""
    unreached = NoBackendServerError('unreached')
    attempts = start_attempts()
    tried = []
    for failure in (unreached, unreached, BROKEN):
        candidate = attempts.choose_candidate()
        tried.append(candidate.target.vm.name)
        attempts.record_failure(candidate.target, failure)
    tried.append(attempts.choose_candidate().target.vm.name)
    assert tried == ['e1', 'e2', 'g1', 'g3']
    assert attempts.call.hops.render() == 'g1@east,w1@west'


def test_an_engine_without_the_model_uses_no_retry():
    """Engines that have unloaded a model must not use up the retry budget."""
    refusals = [UNLOADED, UNLOADED, UNLOADED]
    tried, error = run(
        start_attempts(RetryBudget(retry_fraction=0, burst=0)), refusals
    )
    # A refusal by a gateway of a remote region counts as a failure, so the
    # next attempt needs a retry.
    assert tried == ['e1', 'e2', 'g1']
    assert (error.code, error.outcome) == ('model-not-loaded', 'not-run')


def test_a_refused_retry_leaves_the_outcome_unknown():
    """The first engine may have run the call before its answer broke off."""
    _, error = run(start_attempts(), [BROKEN, UNLOADED, UNLOADED, UNLOADED])
    assert (error.code, error.outcome) == ('answer-broken', 'unknown')


def test_the_retry_budget_limits_retries_across_calls():
    """Calls that fail together must not multiply the load by retries."""
    budget = RetryBudget(retry_fraction=0, burst=1)
    first, _ = run(start_attempts(budget), [BROKEN, BROKEN, BROKEN])
    second, error = run(start_attempts(budget), [BROKEN])
    # The budget allows one retry for each role of a target.
    assert first == ['e1', 'e2', 'g1']
    assert second == ['e1']
    assert error is BROKEN
