"""Answers of which it is not known whether the request was run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome


class OutcomeUnknownError(CallError):
    """The request may have run."""

    code = 'outcome-unknown'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown


class AnswerBrokenError(OutcomeUnknownError):
    """The backend server's answer broke off or was not for this request."""

    code = 'answer-broken'


class AnswerTruncatedError(AnswerBrokenError):
    """The connection ended before the answer did, so its server may have."""
