"""Requests that crash the engines which run them."""

from datetime import timedelta
from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome
from baobabhinge_gateway.errors.unknown_outcomes import AnswerBrokenError

CRASHING_RETRY_AFTER = timedelta(hours=1)


class EngineCrashedError(AnswerBrokenError):
    """The engine died while it ran the request."""

    code = 'engine-crashed'


class CrashingRequestError(CallError):
    """The request has crashed two engines and is refused.

    Parameters
    ----------
    outcome : Outcome
        Whether this very call was one of those that ran.
    """

    code = 'crashing-request'
    status = HTTPStatus.UNPROCESSABLE_ENTITY

    def __init__(self, outcome: Outcome) -> None:
        """Advise not to come back soon."""
        super().__init__(
            'the request crashes the engines that run it', CRASHING_RETRY_AFTER
        )
        self.outcome = outcome
