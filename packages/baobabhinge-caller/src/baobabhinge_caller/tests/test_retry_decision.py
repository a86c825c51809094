from datetime import timedelta

import pytest

from baobabhinge_caller import NotRunError, OutcomeUnknownError, RefusedError
from baobabhinge_caller.key_pool import KeyPool
from baobabhinge_caller.messages import Problem
from baobabhinge_caller.retry_decision import MAX_ATTEMPTS, decide_retry
from baobabhinge_coordination.clock import ManualClock

SHED = Problem('overloaded', 'not-run', '', 503, 4)
BOUND = Problem('wrong-region', 'not-run', '', 421, 0)
LOST = Problem('answer-broken', 'unknown')
BAD = Problem('malformed-request', 'not-run', '', 400, 1)
FULL = Problem('workspace-share', 'not-run', '', 429, 2)


@pytest.mark.parametrize(
    ('problem', 'is_repeatable', 'seconds'),
    [
        (SHED, False, 4),
        (FULL, False, 2),
        (BOUND, False, 0),
        (LOST, True, 0),
    ],
)
def test_harmless_moves(problem, is_repeatable, seconds):
    decision = decide_retry(problem, 1, is_repeatable=is_repeatable)
    assert decision.delay == timedelta(seconds=seconds)


@pytest.mark.parametrize(
    ('problem', 'attempts', 'is_repeatable', 'expected'),
    [
        (LOST, 1, False, OutcomeUnknownError),
        (LOST, MAX_ATTEMPTS, True, OutcomeUnknownError),
        (SHED, MAX_ATTEMPTS, False, NotRunError),
        (BAD, 1, True, RefusedError),
    ],
)
def test_calls_are_given_up(problem, attempts, is_repeatable, expected):
    with pytest.raises(expected):
        decide_retry(problem, attempts, is_repeatable=is_repeatable)


def test_keys_are_used_once_and_only_while_young():
    clock = ManualClock()
    pool = KeyPool(clock)
    assert pool.take() is None
    pool.refill(b'{"keys":["a","b","c"],"ttl_seconds":60}')
    assert [pool.take(), pool.take()] == ['a', 'b']
    clock.advance(timedelta(seconds=30))
    assert pool.take() is None
