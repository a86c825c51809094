"""Base class of the errors of this package."""


class CoordinationError(Exception):
    """Base of every error that the coordination package raises."""
