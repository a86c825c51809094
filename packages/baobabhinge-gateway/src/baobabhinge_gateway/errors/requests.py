"""Calls refused because of what they ask for; none of them was run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError


class MalformedCallError(CallError):
    """The request can't be read."""

    code = 'malformed-request'
    status = HTTPStatus.BAD_REQUEST


class UnknownServiceError(CallError):
    """No such service in the configuration in force."""

    code = 'unknown-service'
    status = HTTPStatus.NOT_FOUND


class UnknownModelError(CallError):
    """The service has no such adapter or version."""

    code = 'unknown-model'
    status = HTTPStatus.NOT_FOUND


class PathLoopError(CallError):
    """The request came to a place for the second time."""

    code = 'path-loop'
    status = HTTPStatus.LOOP_DETECTED
