"""Errors of calls refused for their content; none of them was run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError


class MalformedCallError(CallError):
    """The request can't be parsed."""

    code = 'malformed-request'
    status = HTTPStatus.BAD_REQUEST


class UnknownServiceError(CallError):
    """The configuration in force has no such service."""

    code = 'unknown-service'
    status = HTTPStatus.NOT_FOUND


class UnknownModelError(CallError):
    """The service has no such adapter or version."""

    code = 'unknown-model'
    status = HTTPStatus.NOT_FOUND


class PathLoopError(CallError):
    """The request was forwarded in a loop."""

    code = 'path-loop'
    status = HTTPStatus.LOOP_DETECTED
