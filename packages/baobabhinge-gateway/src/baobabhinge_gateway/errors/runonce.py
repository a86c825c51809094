"""Calls that may not be repeated and end without an answer."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome
from baobabhinge_gateway.errors.unknown_outcomes import OutcomeUnknownError


class KeyRequiredError(CallError):
    """The call may not be repeated and carries no key."""

    code = 'key-required'
    status = HTTPStatus.PRECONDITION_REQUIRED


class BadKeyError(CallError):
    """The run-once key can't be read."""

    code = 'bad-key'
    status = HTTPStatus.BAD_REQUEST


class KeyReusedError(CallError):
    """The key belongs to another request."""

    code = 'key-reused'
    status = HTTPStatus.CONFLICT


class NotRunError(CallError):
    """The call did not run, and never will under its key."""

    code = 'not-run'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class KeysUnavailableError(CallError):
    """No key can be made now."""

    code = 'keys-unavailable'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class AnswerNotKeptError(OutcomeUnknownError):
    """The call ran, and its answer was too long to be kept for repeats."""

    code = 'answer-not-kept'


class KeyedRefusalError(CallError):
    """A call with a key was refused before its key was looked at.

    An earlier attempt with the same key may have run.

    Parameters
    ----------
    refusal : CallError
        Why this attempt was refused.
    """

    outcome = Outcome.unknown

    def __init__(self, refusal: CallError) -> None:
        """Take over code, status and advice."""
        super().__init__(
            f'{refusal.detail}; an earlier attempt may have run',
            refusal.retry_after,
        )
        self.code = refusal.code
        self.status = refusal.status
        self.entries = refusal.entries
