"""Changes of the evidence on crashing requests that the store is to have."""

import asyncio
from contextlib import suppress
from datetime import timedelta


class EvidenceChanges:
    """Whether the store has what a gateway has observed.

    Attributes
    ----------
    is_stored : bool
        Whether the store has all that was recorded.
    """

    __slots__ = ('_has_new', 'is_stored')

    def __init__(self) -> None:
        """Start without evidence."""
        self._has_new = asyncio.Event()
        self.is_stored = True

    def record(self) -> None:
        """Record that there is new evidence."""
        self.is_stored = False
        self._has_new.set()

    async def wait(self, longest: timedelta) -> None:
        """Wait until there is new evidence, or for ``longest``."""
        with suppress(TimeoutError):
            async with asyncio.timeout(longest.total_seconds()):
                await self._has_new.wait()
        self._has_new.clear()
