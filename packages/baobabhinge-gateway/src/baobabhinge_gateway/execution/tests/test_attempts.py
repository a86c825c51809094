from datetime import timedelta

import pytest

from baobabhinge_coordination.budgets import RetryBudget
from baobabhinge_gateway.calls import Call, Hop, HopList, Terms
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
from baobabhinge_gateway.errors.problem import describe_problem
from baobabhinge_gateway.errors.relayed import RelayedProblemError
from baobabhinge_gateway.errors.serving import ModelNotLoadedError
from baobabhinge_gateway.execution.attempts import Attempts
from baobabhinge_gateway.routing import Candidate, RoutingTarget
from baobabhinge_gateway.routing.decisions import Decision
from baobabhinge_platform.machines import Role, Vm

BROKEN = AnswerBrokenError('broken')
CRASHED = EngineCrashedError('died')
DRAINING = DrainingError('leaving')
UNLOADED = ModelNotLoadedError('unloaded')
LATE = DeadlinePassedError('late')
ELSEWHERE = RelayedProblemError(describe_problem(CRASHED))
CULPRIT = CrashingRequestError(Outcome.not_run)


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


def start(budget=None):
    call = Call(
        request_id='r1',
        service=None,
        method='POST',
        path='/',
        headers=(),
        body=b'',
        terms=Terms(timedelta(seconds=1)),
        hops=HopList((Hop('w1', 'west'),)),
    )
    plenty = RetryBudget(share=1, burst=9)
    return Attempts(call, FixedRouter(), budget or plenty, NoIsolation())


def run(attempts, failures):
    """Return the targets tried and the failure that ends the attempts."""
    tried = []
    for failure in failures:
        candidate = attempts.choose_candidate()
        tried.append(candidate.target.vm.name)
        attempts.record_failure(candidate.target, failure)
    try:
        attempts.choose_candidate()
    except CallError as told:
        return tried, told
    raise AssertionError('one more attempt was allowed')


@pytest.mark.parametrize(
    ('failures', 'code', 'outcome'),
    [
        ([DRAINING, DRAINING, DRAINING], 'draining', 'not-run'),
        ([BROKEN, DRAINING, DRAINING], 'answer-broken', 'unknown'),
        ([DRAINING, BROKEN, DRAINING], 'answer-broken', 'unknown'),
        ([LATE], 'deadline-passed', 'not-run'),
        ([BROKEN, LATE], 'answer-broken', 'unknown'),
        ([ELSEWHERE], 'engine-crashed', 'unknown'),
        ([CULPRIT], 'crashing-request', 'not-run'),
        ([CRASHED, CULPRIT], 'crashing-request', 'unknown'),
    ],
)
def test_what_the_caller_is_told(failures, code, outcome):
    _, told = run(start(), failures)
    assert told.code == code
    assert told.outcome == outcome


def test_no_target_and_no_region_is_tried_twice():
    unreached = NoBackendServerError('unreached')
    attempts = start()
    tried = []
    for failure in (unreached, unreached, BROKEN):
        candidate = attempts.choose_candidate()
        tried.append(candidate.target.vm.name)
        attempts.record_failure(candidate.target, failure)
    tried.append(attempts.choose_candidate().target.vm.name)
    assert tried == ['e1', 'e2', 'g1', 'g3']
    assert attempts.call.hops.render() == 'g1@east,w1@west'


def test_an_engine_without_the_model_costs_no_retry():
    refusals = [UNLOADED, UNLOADED, UNLOADED]
    tried, told = run(start(RetryBudget(share=0, burst=0)), refusals)
    # Gateways of other regions are far: after one of them, a retry costs.
    assert tried == ['e1', 'e2', 'g1']
    assert (told.code, told.outcome) == ('model-not-loaded', 'not-run')


def test_a_call_that_may_have_run_stays_unknown_after_a_refusal():
    _, told = run(start(), [BROKEN, UNLOADED, UNLOADED, UNLOADED])
    assert (told.code, told.outcome) == ('answer-broken', 'unknown')


def test_repeated_work_is_bounded_by_the_budget():
    budget = RetryBudget(share=0, burst=1)
    first, _ = run(start(budget), [BROKEN, BROKEN, BROKEN])
    second, told = run(start(budget), [BROKEN])
    # One retry of each kind of target was saved up.
    assert first == ['e1', 'e2', 'g1']
    assert second == ['e1']
    assert told is BROKEN
