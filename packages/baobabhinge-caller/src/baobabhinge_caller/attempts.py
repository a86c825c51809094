"""Attempts of one call at one gateway after another."""

import asyncio
from collections import deque

from baobabhinge_caller.entries import EntryBook
from baobabhinge_caller.messages import Problem
from baobabhinge_caller.moving import decide


class Attempts:
    """Choose gateways until the call is answered or given up.

    Parameters
    ----------
    entries : EntryBook
        Gateways to use.
    is_repeatable : bool
        Whether the call may be sent again when its outcome is unknown.

    Attributes
    ----------
    address : str
        Gateway of the present attempt.
    """

    __slots__ = ('_count', '_entries', '_hinted', '_is_repeatable', 'address')

    def __init__(self, entries: EntryBook, *, is_repeatable: bool) -> None:
        """Start before the first attempt."""
        self.address = ''
        self._entries = entries
        self._is_repeatable = is_repeatable
        self._count = 0
        self._hinted: deque[str] = deque()

    async def choose(self) -> str:
        """Return the gateway of the next attempt."""
        if self._hinted:
            self.address = self._hinted.popleft()
        else:
            addresses = await self._entries.list_addresses()
            self.address = addresses[0]
        self._count += 1
        return self.address

    async def record(self, problem: Problem) -> None:
        """Wait as long as the gateway asks for, or give up.

        Raises
        ------
        CallFailedError
            If the call is given up.
        """
        move = decide(
            problem,
            self._count,
            is_repeatable=self._is_repeatable,
        )
        if not problem.entries:
            self._entries.avoid(self.address)
        self._hinted = deque(entry.address for entry in problem.entries)
        await asyncio.sleep(move.pause.total_seconds())
