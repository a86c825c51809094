"""Errors of the HTTP server; all but `InternalError` mean "not run"."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError, Outcome


class PathNotFoundError(CallError):
    """The HTTP interface has no such path."""

    code = 'no-such-path'
    status = HTTPStatus.NOT_FOUND


class MethodNotAllowedError(CallError):
    """The path does not support the method."""

    code = 'method-not-allowed'
    status = HTTPStatus.METHOD_NOT_ALLOWED


class BodyTooLargeError(CallError):
    """The request body exceeds the size limit."""

    code = 'body-too-large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class HeadersTooLargeError(CallError):
    """The request line or a header exceeds its size limit."""

    code = 'headers-too-large'
    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class SlowRequestError(CallError):
    """The request was not received within the timeout."""

    code = 'slow-request'
    status = HTTPStatus.REQUEST_TIMEOUT


class TooManyConnectionsError(CallError):
    """The gateway has reached its limit of open connections."""

    code = 'too-many-connections'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class InternalError(CallError):
    """The gateway failed unexpectedly; the request may have been run."""

    code = 'internal'
    outcome = Outcome.unknown
