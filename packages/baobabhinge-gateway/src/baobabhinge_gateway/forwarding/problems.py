"""Final answers that are this gateway's own."""

from http import HTTPStatus

from baobabhinge_gateway.errors import CallError, Outcome


class ForwardingError(CallError):
    """Base of the failures of forwarded calls."""


class MalformedCallError(ForwardingError):
    """The head of the request can't be understood."""

    code = 'malformed'
    status = HTTPStatus.BAD_REQUEST


class BodyTooLargeError(ForwardingError):
    """The body exceeds the limit in force."""

    code = 'body-too-large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class NoRouteError(ForwardingError):
    """No route of the configuration in force matches."""

    code = 'no-route'
    status = HTTPStatus.NOT_FOUND


class NoConfigurationError(ForwardingError):
    """No configuration is known yet."""

    code = 'no-configuration'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class NotServedError(ForwardingError):
    """No backend server can take the call in time; it was not run."""

    code = 'not-served'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class DeclinedError(NotServedError):
    """A backend server or a gateway said that it did not run the call."""

    code = 'declined'


class UnknownOutcomeError(ForwardingError):
    """The call was sent and its answer is lost."""

    code = 'outcome-unknown'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown


class TimeLimitError(ForwardingError):
    """The time limit passed after the call was sent."""

    code = 'time-limit'
    status = HTTPStatus.GATEWAY_TIMEOUT
    outcome = Outcome.unknown


class StreamBrokenError(ForwardingError):
    """A stream broke off after its first event reached the caller."""

    code = 'stream-broken'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
