"""Requests refused by the HTTP server itself; none of them was run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome


class PathNotFoundError(CallError):
    """The interface has no such path."""

    code = 'no-such-path'
    status = HTTPStatus.NOT_FOUND


class MethodNotAllowedError(CallError):
    """The path has no such method."""

    code = 'method-not-allowed'
    status = HTTPStatus.METHOD_NOT_ALLOWED


class BodyTooLargeError(CallError):
    """The body is over the limit."""

    code = 'body-too-large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class HeadersTooLargeError(CallError):
    """The request line or a header is over its limit."""

    code = 'headers-too-large'
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class SlowRequestError(CallError):
    """The request did not arrive in time."""

    code = 'slow-request'
    status = HTTPStatus.REQUEST_TIMEOUT


class TooManyConnectionsError(CallError):
    """The gateway has as many open connections as it takes."""

    code = 'too-many-connections'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class InternalError(CallError):
    """A fault of the gateway itself."""

    code = 'internal'
    outcome = Outcome.unknown
