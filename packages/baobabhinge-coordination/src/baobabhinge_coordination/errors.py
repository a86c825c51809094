"""Base of the errors that this package raises."""


class CoordinationError(Exception):
    """Base of every failure reported by the coordination package."""
