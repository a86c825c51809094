"""Errors of calls that may have been run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome


class OutcomeUnknownError(CallError):
    """The request may have been run."""

    code = 'outcome-unknown'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown


class AnswerBrokenError(OutcomeUnknownError):
    """The answer was malformed, incomplete or of another request."""

    code = 'answer-broken'


class AnswerTruncatedError(AnswerBrokenError):
    """The connection closed during the answer; the server may have crashed."""
