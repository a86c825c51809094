"""Interface through which decisions read the time."""

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of instants and of monotonic time."""

    def read_instant(self) -> datetime:
        """Return the current instant with a time zone."""

    def read_monotonic(self) -> timedelta:
        """Return the time since an arbitrary origin; it never decreases."""
