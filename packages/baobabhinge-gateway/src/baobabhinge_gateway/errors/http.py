"""Mapping of the HTTP library's errors to those of the gateway."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError
from baobabhinge_gateway.errors.requests import MalformedCallError
from baobabhinge_gateway.errors.transport import (
    BodyTooLargeError,
    InternalError,
    MethodNotAllowedError,
    PathNotFoundError,
)

ERRORS_BY_STATUS: dict[HTTPStatus, type[CallError]] = {
    HTTPStatus.NOT_FOUND: PathNotFoundError,
    HTTPStatus.METHOD_NOT_ALLOWED: MethodNotAllowedError,
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: BodyTooLargeError,
}


def build_http_error(status: HTTPStatus) -> CallError:
    """Return the error for a status that the HTTP library would answer."""
    detail = status.description or status.phrase
    kind = ERRORS_BY_STATUS.get(status)
    if kind is not None:
        return kind(detail)
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return InternalError(detail)
    return MalformedCallError(detail)
