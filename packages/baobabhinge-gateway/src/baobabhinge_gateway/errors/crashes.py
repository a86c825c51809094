"""Errors of requests that crash the engines which run them."""

from datetime import timedelta
from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome
from baobabhinge_gateway.errors.unknown_outcomes import AnswerBrokenError

CRASHING_RETRY_AFTER = timedelta(hours=1)


class EngineCrashedError(AnswerBrokenError):
    """The engine crashed while it ran the request."""

    code = 'engine-crashed'


class CrashingRequestError(CallError):
    """The request is refused because it has crashed two engines.

    Parameters
    ----------
    outcome : Outcome
        Whether this call was run, or refused before it was sent.
    """

    code = 'crashing-request'
    status = HTTPStatus.UNPROCESSABLE_ENTITY

    def __init__(self, outcome: Outcome) -> None:
        """Ask the caller not to retry within `CRASHING_RETRY_AFTER`."""
        super().__init__(
            'the request crashes the engines that run it', CRASHING_RETRY_AFTER
        )
        self.outcome = outcome
