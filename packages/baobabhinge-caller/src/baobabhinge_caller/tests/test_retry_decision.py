from datetime import timedelta

import pytest

from baobabhinge_caller import NotRunError, OutcomeUnknownError, RefusedError
from baobabhinge_caller.key_pool import KeyPool
from baobabhinge_caller.messages import Problem
from baobabhinge_caller.retry_decision import MAX_ATTEMPTS, decide_retry
from baobabhinge_coordination.clock import ManualClock

OVERLOADED = Problem('overloaded', 'not-run', '', 503, 4)
WRONG_REGION = Problem('wrong-region', 'not-run', '', 421, 0)
TRUNCATED = Problem('answer-broken', 'unknown')
MALFORMED = Problem('malformed-request', 'not-run', '', 400, 1)
WORKSPACE_LIMIT = Problem('workspace-share', 'not-run', '', 429, 2)


@pytest.mark.parametrize(
    ('problem', 'is_repeatable', 'seconds'),
    [
        (OVERLOADED, False, 4),
        (WORKSPACE_LIMIT, False, 2),
        (WRONG_REGION, False, 0),
        (TRUNCATED, True, 0),
    ],
)
def test_safe_retries_and_their_delay(problem, is_repeatable, seconds):
    decision = decide_retry(problem, 1, is_repeatable=is_repeatable)
    assert decision.delay == timedelta(seconds=seconds)


@pytest.mark.parametrize(
    ('problem', 'attempts', 'is_repeatable', 'expected'),
    [
        (TRUNCATED, 1, False, OutcomeUnknownError),
        (TRUNCATED, MAX_ATTEMPTS, True, OutcomeUnknownError),
        (OVERLOADED, MAX_ATTEMPTS, False, NotRunError),
        (MALFORMED, 1, True, RefusedError),
    ],
)
def test_calls_that_are_not_retried(problem, attempts, is_repeatable, expected):
    with pytest.raises(expected):
        decide_retry(problem, attempts, is_repeatable=is_repeatable)


def test_keys_are_used_once_in_the_first_half_of_their_lifetime():
    clock = ManualClock()
    pool = KeyPool(clock)
    assert pool.take() is None
    pool.refill(b'{"keys":["a","b","c"],"ttl_seconds":60}')
    assert [pool.take(), pool.take()] == ['a', 'b']
    clock.advance(timedelta(seconds=30))
    assert pool.take() is None
