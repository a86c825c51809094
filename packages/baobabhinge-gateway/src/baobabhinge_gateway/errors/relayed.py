"""Errors reported by another gateway, and answers that end incomplete."""

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
    """Another gateway refused the call or did not get its answer.

    Parameters
    ----------
    problem : Problem
        Problem details that the other gateway answered.
    """

    def __init__(self, problem: Problem) -> None:
        """Copy the fields of the problem that callers see."""
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
    """The caller disconnected or reads the answer too slowly."""


class AnswerCutError(GatewayError):
    """A streamed answer was aborted, so that the caller sees it incomplete."""


def decode_problem(body: bytes) -> CallError:
    """Return the error that another gateway describes in ``body``.

    If ``body`` can't be read, the returned error has an unknown outcome.
    """
    try:
        relayed = RelayedProblemError(msgspec.json.decode(body, type=Problem))
    except (msgspec.MsgspecError, ValueError):
        return AnswerBrokenError(
            'another gateway answered with a malformed error'
        )
    if relayed.code == ModelNotLoadedError.code:
        return ModelNotLoadedError(relayed.detail, relayed.retry_after)
    return relayed
