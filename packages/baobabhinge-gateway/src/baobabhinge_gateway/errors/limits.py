"""Calls refused because of load; none of them was run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError


class OverloadedError(CallError):
    """The answer would come too late."""

    code = 'overloaded'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class LimitReachedError(CallError):
    """A limit that the operators set is reached."""

    code = 'limit-reached'
    status = HTTPStatus.TOO_MANY_REQUESTS


class WorkspaceShareError(CallError):
    """The workspace uses more than its share of a full service."""

    code = 'workspace-share'
    status = HTTPStatus.TOO_MANY_REQUESTS
