"""Errors of calls that end without an answer of a backend server."""

from http import HTTPStatus

from baobabhinge_gateway.errors import Outcome
from baobabhinge_gateway.forwarding.problems import ForwardingError


class AttemptError(ForwardingError):
    """Base of the errors of attempts that end without an answer.

    Attributes
    ----------
    concerns_server : bool
        Whether the error may tell of a fault of the server.
    """

    concerns_server = True


class NotServedError(AttemptError):
    """No backend server can take the call in time; it did not run."""

    code = 'no-backend-server'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class OverloadError(NotServedError):
    """The answer would be too late from every backend server; not run."""

    code = 'overloaded'


class DeclinedError(NotServedError):
    """The target was not reached, or answered that it did not run the call."""

    code = 'declined'


class UnknownOutcomeError(AttemptError):
    """The call was sent and its answer is lost, so it may have run."""

    code = 'outcome-unknown'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown


class TimeLimitError(AttemptError):
    """The time limit passed after the call was sent, so it may have run."""

    code = 'time-limit'
    status = HTTPStatus.GATEWAY_TIMEOUT
    outcome = Outcome.unknown


class StreamBrokenError(AttemptError):
    """A stream broke off after an event of it was passed on.

    So does one that another server does not go on with.
    """

    code = 'stream-broken'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
