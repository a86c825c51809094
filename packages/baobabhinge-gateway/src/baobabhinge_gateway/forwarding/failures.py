"""Ways in which calls end without a backend server's answer."""

from http import HTTPStatus

from baobabhinge_gateway.errors import Outcome
from baobabhinge_gateway.forwarding.problems import ForwardingError


class AttemptError(ForwardingError):
    """Base of the ways in which an attempt ends without an answer."""


class NotServedError(AttemptError):
    """No backend server can take the call in time; it was not run."""

    code = 'no-backend-server'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class OverloadError(NotServedError):
    """The answer would come too late wherever the call is served."""

    code = 'overloaded'


class DeclinedError(NotServedError):
    """A backend server or a gateway said that it did not run the call."""

    code = 'declined'


class UnknownOutcomeError(AttemptError):
    """The call was sent and its answer is lost."""

    code = 'outcome-unknown'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown


class TimeLimitError(AttemptError):
    """The time limit passed after the call was sent."""

    code = 'time-limit'
    status = HTTPStatus.GATEWAY_TIMEOUT
    outcome = Outcome.unknown


class StreamBrokenError(AttemptError):
    """A stream broke off after its first event reached the caller."""

    code = 'stream-broken'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
