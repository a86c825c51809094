"""Decision whether a call without an answer is retried."""

from datetime import timedelta
from http import HTTPStatus

import msgspec

from baobabhinge_caller.errors import (
    CallFailedError,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
)
from baobabhinge_caller.messages import NOT_RUN, Problem

MAX_ATTEMPTS = 6
MAX_RETRY_DELAY = timedelta(seconds=30)
IMMEDIATE_RETRY_CODES = frozenset(('wrong-region', 'draining', 'no-connection'))
# The run-once key is closed: every gateway refuses calls that have it.
KEY_CLOSED_CODE = 'not-run'
NEVER_RETRIED_CODES = frozenset(('crashing-request', 'engine-crashed'))
TEMPORARY_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.MISDIRECTED_REQUEST),
)


class RetryDecision(msgspec.Struct, frozen=True):
    """Retry at another gateway after a delay."""

    delay: timedelta


def decide_retry(
    problem: Problem, attempts: int, *, is_repeatable: bool
) -> RetryDecision:
    """Return the delay before the retry at another gateway.

    Parameters
    ----------
    problem : Problem
        Reason why there is no answer.
    attempts : int
        Attempts made so far.
    is_repeatable : bool
        Whether the call may be sent again when its outcome is unknown.

    Raises
    ------
    NotRunError
        If the call was not run, and the attempts are used up or its key is
        closed.
    RefusedError
        If a retry would be refused as well.
    OutcomeUnknownError
        If the call may have run and may not be retried.
    """
    if _is_permanent_refusal(problem):
        raise RefusedError(problem)
    may_retry = is_repeatable and problem.code not in NEVER_RETRIED_CODES
    if problem.outcome != NOT_RUN and not may_retry:
        raise OutcomeUnknownError(problem)
    if attempts >= MAX_ATTEMPTS or problem.code == KEY_CLOSED_CODE:
        raise create_failure(problem)
    if problem.code in IMMEDIATE_RETRY_CODES:
        return RetryDecision(timedelta())
    advised = timedelta(seconds=problem.retry_after_seconds)
    return RetryDecision(min(MAX_RETRY_DELAY, advised))


def create_failure(problem: Problem) -> CallFailedError:
    """Return the error to raise for the outcome in ``problem``."""
    if problem.outcome == NOT_RUN:
        return NotRunError(problem)
    return OutcomeUnknownError(problem)


def _is_permanent_refusal(problem: Problem) -> bool:
    is_refusal = (
        HTTPStatus.BAD_REQUEST
        <= problem.status
        < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    return (
        is_refusal
        and problem.outcome == NOT_RUN
        and problem.status not in TEMPORARY_STATUSES
    )
