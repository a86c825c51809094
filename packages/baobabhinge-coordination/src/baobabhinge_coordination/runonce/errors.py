"""Errors about run-once keys."""

from baobabhinge_coordination.errors import CoordinationError


class RunOnceError(CoordinationError):
    """Base of the errors about run-once keys."""


class MalformedKeyError(RunOnceError):
    """The text is not a run-once key, or the named owner didn't mint it."""


class KeysExhaustedError(RunOnceError):
    """No key can be minted before a new epoch is open."""


class WitnessFullError(RunOnceError):
    """The witness holds its maximum of epochs and can open no other."""
