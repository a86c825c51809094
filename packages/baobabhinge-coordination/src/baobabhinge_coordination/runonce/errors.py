"""Failures around run-once keys."""

from baobabhinge_coordination.errors import CoordinationError


class RunOnceError(CoordinationError):
    """Base of the failures around run-once keys."""


class MalformedKeyError(RunOnceError):
    """The text is not a run-once key, or its owner did not make it."""


class KeysExhaustedError(RunOnceError):
    """No more keys can be made until older ones have passed their age."""


class WitnessFullError(RunOnceError):
    """The witness can open no more epochs now."""
