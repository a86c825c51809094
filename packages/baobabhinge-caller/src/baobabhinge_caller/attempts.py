"""Attempts of one call, each at one gateway."""

import asyncio
from collections import deque

from baobabhinge_caller.entry_cache import EntryCache
from baobabhinge_caller.messages import Problem
from baobabhinge_caller.retry_decision import decide_retry


class Attempts:
    """Choose the gateway of each attempt and decide whether to retry.

    Parameters
    ----------
    entries : EntryCache
        Gateways to choose from.
    is_repeatable : bool
        Whether the call may be sent again when its outcome is unknown.

    Attributes
    ----------
    address : str
        ``host:port`` of the gateway of the current attempt.
    """

    __slots__ = (
        '_count',
        '_entries',
        '_is_repeatable',
        '_suggested',
        'address',
    )

    def __init__(self, entries: EntryCache, *, is_repeatable: bool) -> None:
        """Start without attempts."""
        self.address = ''
        self._entries = entries
        self._is_repeatable = is_repeatable
        self._count = 0
        self._suggested: deque[str] = deque()

    async def choose(self) -> str:
        """Return the address of the gateway for the next attempt.

        Gateways that the last answer suggested come before the cached ones.
        """
        if self._suggested:
            self.address = self._suggested.popleft()
        else:
            addresses = await self._entries.list_addresses()
            self.address = addresses[0]
        self._count += 1
        return self.address

    async def record_failure(self, problem: Problem) -> None:
        """Wait until the call may be retried, or give up.

        Raises
        ------
        CallFailedError
            If the call may not be retried.
        """
        decision = decide_retry(
            problem,
            self._count,
            is_repeatable=self._is_repeatable,
        )
        if not problem.entries:
            self._entries.deprioritize(self.address)
        self._suggested = deque(entry.address for entry in problem.entries)
        await asyncio.sleep(decision.delay.total_seconds())
