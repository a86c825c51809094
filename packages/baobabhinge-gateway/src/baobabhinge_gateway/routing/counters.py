"""Calls in flight by vm."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager


class InFlight:
    """Count the calls that this gateway has open at each vm."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Start with none."""
        self._counts: Counter[str] = Counter()

    def count(self, vm: str) -> int:
        """Return the number of calls open at ``vm``."""
        return self._counts[vm]

    @contextmanager
    def track(self, vm: str) -> Iterator[None]:
        """Count one call at ``vm`` while the context is open."""
        self._counts[vm] += 1
        try:
            yield
        finally:
            self._counts[vm] -= 1
