"""Calls that could not be served now, or whose outcome is unknown."""

from http import HTTPStatus

from baobabhinge_gateway.errors.base import CallError


class NotConfiguredError(CallError):
    """The gateway has no configuration yet."""

    code = 'not-configured'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class NoBackendServerError(CallError):
    """No backend server could take the request."""

    code = 'no-backend-server'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class ModelNotLoadedError(CallError):
    """The model, in the version asked for, is loaded nowhere or not here."""

    code = 'model-not-loaded'
    status = HTTPStatus.SERVICE_UNAVAILABLE


class DeadlinePassedError(CallError):
    """The deadline passed before the request was run."""

    code = 'deadline-passed'
    status = HTTPStatus.GATEWAY_TIMEOUT


class DrainingError(CallError):
    """The gateway is leaving and takes no new calls."""

    code = 'draining'
    status = HTTPStatus.SERVICE_UNAVAILABLE
