"""Errors of requests that are refused before they become calls."""

from http import HTTPStatus

from baobabhinge_gateway.errors import CallError


class ForwardingError(CallError):
    """Base of the errors of forwarded calls."""


class MalformedCallError(ForwardingError):
    """The head of the request violates the protocol."""

    code = 'malformed-request'
    status = HTTPStatus.BAD_REQUEST


class BodyTooLargeError(ForwardingError):
    """The body exceeds the limit of the configuration in force."""

    code = 'body-too-large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class NoRouteError(ForwardingError):
    """No route of the configuration in force matches."""

    code = 'no-route'
    status = HTTPStatus.NOT_FOUND


class GatewayBusyError(ForwardingError):
    """The gateway is behind with its own work; the call did not run.

    It is counted but not logged for each call, as refusals have to cost less
    than calls.
    """

    code = 'gateway-busy'
    is_logged = False
    status = HTTPStatus.SERVICE_UNAVAILABLE


class NoConfigurationError(ForwardingError):
    """The gateway has received no configuration yet."""

    code = 'not-configured'
    status = HTTPStatus.SERVICE_UNAVAILABLE
