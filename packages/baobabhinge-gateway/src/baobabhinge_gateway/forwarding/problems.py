"""Refusals of requests that do not become calls."""

from http import HTTPStatus

from baobabhinge_gateway.errors import CallError


class ForwardingError(CallError):
    """Base of the failures of forwarded calls."""


class MalformedCallError(ForwardingError):
    """The head of the request can't be understood."""

    code = 'malformed-request'
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

    code = 'not-configured'
    status = HTTPStatus.SERVICE_UNAVAILABLE
