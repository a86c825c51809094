"""Errors of calls that can't be served now; none of them was run."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError


class NotConfiguredError(CallError):
    """The gateway has no configuration yet."""

    code = 'not-configured'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class NoBackendServerError(CallError):
    """No backend server is available for the request."""

    code = 'no-backend-server'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class ModelNotLoadedError(CallError):
    """The requested model version is not loaded on an available engine."""

    code = 'model-not-loaded'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class DeadlinePassedError(CallError):
    """The deadline passed before the request was run."""

    code = 'deadline-passed'
    status = HTTPStatus.GATEWAY_TIMEOUT


class DrainingError(CallError):
    """The gateway is shutting down and accepts no new calls."""

    code = 'draining'
    status = HTTPStatus.SERVICE_UNAVAILABLE
