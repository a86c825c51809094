"""Calls refused because of load; none of them was run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError


class OverloadedError(CallError):
    """The answer is estimated to miss the latency limit or the deadline."""

    code = 'overloaded'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class LimitReachedError(CallError):
    """A limit configured by the operators is reached."""

    code = 'limit-reached'
    status = HTTPStatus.TOO_MANY_REQUESTS


class WorkspaceShareError(CallError):
    """The service is full, and the workspace uses more than its share."""

    code = 'workspace-share'
    status = HTTPStatus.TOO_MANY_REQUESTS
