"""Whether a call without an answer may go to another gateway."""

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
LONGEST_PAUSE = timedelta(seconds=30)
SERVED_ELSEWHERE = frozenset(('wrong-region', 'draining', 'no-connection'))
# Its key is closed for good, at every gateway.
KEY_CLOSED = 'not-run'
NEVER_REPEATED = frozenset(('crashing-request', 'engine-crashed'))
PASSING_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.MISDIRECTED_REQUEST),
)


class Move(msgspec.Struct, frozen=True):
    """Try another gateway after a pause."""

    pause: timedelta


def decide(problem: Problem, attempts: int, *, is_repeatable: bool) -> Move:
    """Return the pause before the next gateway is tried.

    Parameters
    ----------
    problem : Problem
        Why there is no answer.
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
        If the call would be refused again.
    OutcomeUnknownError
        If the call may have run and may not be repeated.
    """
    if _is_final(problem):
        raise RefusedError(problem)
    may_repeat = is_repeatable and problem.code not in NEVER_REPEATED
    if problem.outcome != NOT_RUN and not may_repeat:
        raise OutcomeUnknownError(problem)
    if attempts >= MAX_ATTEMPTS or problem.code == KEY_CLOSED:
        raise name_failure(problem)
    if problem.code in SERVED_ELSEWHERE:
        return Move(timedelta())
    advised = timedelta(seconds=problem.retry_after_seconds)
    return Move(min(LONGEST_PAUSE, advised))


def name_failure(problem: Problem) -> CallFailedError:
    """Return the error that tells what is known about the call."""
    if problem.outcome == NOT_RUN:
        return NotRunError(problem)
    return OutcomeUnknownError(problem)


def _is_final(problem: Problem) -> bool:
    is_refusal = (
        HTTPStatus.BAD_REQUEST
        <= problem.status
        < HTTPStatus.INTERNAL_SERVER_ERROR
    )
    return (
        is_refusal
        and problem.outcome == NOT_RUN
        and problem.status not in PASSING_STATUSES
    )
