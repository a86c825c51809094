"""Failures told by another gateway, and answers that end unfinished."""

from datetime import timedelta
from http import HTTPStatus

import msgspec

from baobabhinge_gateway.errors.base import (
    CallError,
    GatewayError,
    Outcome,
)
from baobabhinge_gateway.errors.problem import Problem
from baobabhinge_gateway.errors.unavailable import ModelNotLoadedError
from baobabhinge_gateway.errors.unknown_outcomes import AnswerBrokenError


class RelayedProblemError(CallError):
    """Another gateway refused the call or lost its answer.

    Parameters
    ----------
    problem : Problem
        What the other gateway said.
    """

    def __init__(self, problem: Problem) -> None:
        """Take over code, status and outcome."""
        super().__init__(
            problem.detail,
            timedelta(seconds=problem.retry_after_seconds),
        )
        self.code = problem.code
        self.status = HTTPStatus(problem.status)
        self.outcome = problem.outcome
        self.entries = problem.entries


class BackendFailedError(CallError):
    """The backend server answered that it can't serve the request."""

    code = 'backend-failed'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown


class CallerLostError(GatewayError):
    """The caller went away or reads too slowly."""


class AnswerCutError(GatewayError):
    """A streamed answer that had begun was ended visibly unfinished."""


def decode_problem(body: bytes) -> CallError:
    """Return the error that another gateway describes in ``body``.

    A description that can't be read leaves the outcome unknown.
    """
    try:
        told = RelayedProblemError(msgspec.json.decode(body, type=Problem))
    except (msgspec.MsgspecError, ValueError):
        return AnswerBrokenError('another gateway answered a malformed error')
    if told.code == ModelNotLoadedError.code:
        return ModelNotLoadedError(told.detail, told.retry_after)
    return told
