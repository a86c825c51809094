"""Receiving of bodies from clients that may send slowly or never end."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial

from baobabhinge_gateway.connections.limits import MAX_BODY_PAUSE
from baobabhinge_gateway.connections.problems import BodyStalledError
from baobabhinge_gateway.connections.waits import ClientWait
from baobabhinge_gateway.forwarding.memory_budget import (
    BodyMemoryError,
    MemoryUse,
)

Renew = Callable[[], None]


class _BodyWait:
    """Bound on the pauses of one body."""

    __slots__ = ('bound', 'is_given_up')

    def __init__(self) -> None:
        self.bound = asyncio.timeout(MAX_BODY_PAUSE.total_seconds())
        self.is_given_up = False

    def give_up(self) -> None:
        """End the body now, as others need its memory."""
        self.is_given_up = True
        self.bound.reschedule(asyncio.get_running_loop().time())

    def renew(self) -> None:
        """Record that bytes have arrived."""
        if not self.is_given_up:
            now = asyncio.get_running_loop().time()
            self.bound.reschedule(now + MAX_BODY_PAUSE.total_seconds())


@asynccontextmanager
async def bound_pauses(memory: MemoryUse) -> AsyncIterator[Renew]:
    """Bound the time without progress of a body that is not whole.

    Parameters
    ----------
    memory : MemoryUse
        What the request holds; it is given back if the body is given up.

    Yields
    ------
    callable
        To be called when bytes have arrived.

    Raises
    ------
    BodyStalledError
        If no bytes came for `MAX_BODY_PAUSE`.
    BodyMemoryError
        If others need the memory.
    """
    body = _BodyWait()
    with memory.hold_wait(body.give_up) as wait:
        try:
            async with body.bound:
                yield partial(_renew, wait, body)
        except TimeoutError as ended:
            if not body.bound.expired():
                raise
            if body.is_given_up:
                raise BodyMemoryError(
                    'the gateway needs the memory of the unfinished body'
                ) from ended
            raise BodyStalledError('the body did not arrive') from ended


def _renew(wait: ClientWait, body: _BodyWait) -> None:
    wait.renew()
    body.renew()
