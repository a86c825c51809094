"""Errors of run-once calls, which must not be run twice."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome
from baobabhinge_gateway.errors.unknown_outcomes import OutcomeUnknownError


class KeyRequiredError(CallError):
    """The call is of kind run-once and carries no key."""

    code = 'key-required'
    status = HTTPStatus.PRECONDITION_REQUIRED


class BadKeyError(CallError):
    """The run-once key is malformed."""

    code = 'bad-key'
    status = HTTPStatus.BAD_REQUEST


class KeyReusedError(CallError):
    """The key was used for another request."""

    code = 'key-reused'
    status = HTTPStatus.CONFLICT


class NotRunError(CallError):
    """The call was not run, and will never be run under its key."""

    code = 'not-run'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class KeysUnavailableError(CallError):
    """The gateway can't issue run-once keys now."""

    code = 'keys-unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class AnswerNotKeptError(OutcomeUnknownError):
    """The call was run, but its answer was too long to store for retries."""

    code = 'answer-not-kept'


class KeyedRefusalError(CallError):
    """A call with a key was refused before its key was looked up.

    An earlier attempt with the same key may have run.

    Parameters
    ----------
    refusal : CallError
        Why this attempt was refused.
    """

    outcome = Outcome.unknown

    def __init__(self, refusal: CallError) -> None:
        """Copy code, status, retry delay and entries of the refusal."""
        super().__init__(
            f'{refusal.detail}; an earlier attempt may have run',
            refusal.retry_after,
        )
        self.code = refusal.code
        self.status = refusal.status
        self.entries = refusal.entries
