"""Errors of requests that end for the behaviour of their clients."""

from http import HTTPStatus

from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.forwarding.problems import ForwardingError


class CallerLeftError(CallError):
    """The caller closed its connection; the attempt was not sent."""

    code = 'abandoned'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    is_awaited = False


class BodyStalledError(ForwardingError):
    """The rest of the body did not arrive in time; the call did not run."""

    code = 'body-stalled'
    status = HTTPStatus.REQUEST_TIMEOUT
