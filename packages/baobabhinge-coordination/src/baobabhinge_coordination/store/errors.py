"""Failures of calls to the key-value service."""

from baobabhinge_coordination.errors import CoordinationError


class StoreError(CoordinationError):
    """Base of the failures of the key-value service."""


class StoreUnavailableError(StoreError):
    """The call did not reach the service, so it had no effect."""


class StoreAnswerLostError(StoreError):
    """The call may have taken effect, but its answer did not arrive."""


class StoreThrottledError(StoreUnavailableError):
    """The service throttled the call, so it had no effect."""
