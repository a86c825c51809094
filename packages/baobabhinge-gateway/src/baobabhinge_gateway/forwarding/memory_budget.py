"""Bound on the bytes of requests and answers that a process holds at once.

Load pattern: servers, callers or other gateways send bytes without end, many at
a time. Each of them may take as many bytes as it leaves free to all others, so
that one takes half of the budget at most, two take a third each, and some are
always left for one that holds none.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager

import structlog

from baobabhinge_gateway.connections.waits import (
    ClientWait,
    ClientWaits,
    GiveUp,
)
from baobabhinge_gateway.forwarding.failures import (
    NotServedError,
    UnknownOutcomeError,
)

# The rest is for the program, its state, and what sockets hold.
BUDGET_FRACTION = 0.3
# A body is held in chunks while these are joined, and in the buffer of the
# connection on which it is passed on.
COPIES = 2

log = structlog.get_logger(__name__)


class BodyMemoryError(NotServedError):
    """There is no memory for the body of the request; it did not run."""

    code = 'no-memory-for-body'


class AnswerMemoryError(UnknownOutcomeError):
    """There is no memory for the answer; the call may have run."""

    code = 'no-memory-for-answer'
    concerns_server = False


class MemoryBudget:
    """Bytes that are held for each sender.

    Parameters
    ----------
    memory : int
        Bytes that the process may use altogether.

    Attributes
    ----------
    waits : ClientWaits
        Requests and answers that are given up if there is no room.
    """

    __slots__ = ('_held', '_limit', '_sum', 'waits')

    def __init__(self, memory: int) -> None:
        """Hold nothing."""
        self._limit = int(memory * BUDGET_FRACTION)
        self._held: dict[str, int] = {}
        self._sum = 0
        self.waits = ClientWaits()

    def take(self, sender: str, length: int) -> bool:
        """Hold ``length`` more bytes of a sender, if there is room for them.

        Room is made by giving up clients that make no progress.
        """
        while not self._has_room(sender, length):
            if not self.waits.relieve():
                held = self._held.get(sender, 0)
                log.warning('memory-budget-exceeded', sender=sender, held=held)
                return False
        held = self._held.get(sender, 0) + length
        self._held[sender] = held
        self._sum += length
        return True

    def give_back(self, sender: str, length: int) -> None:
        """Hold ``length`` bytes of a sender no more."""
        self._sum -= length
        left = self._held.pop(sender, 0) - length
        if left > 0:
            self._held[sender] = left

    @contextmanager
    def open_use(self) -> Iterator['MemoryUse']:
        """Yield the bytes held for one request; they are given back after it.

        Yields
        ------
        MemoryUse
            Nothing is held yet.
        """
        use = MemoryUse(self)
        try:
            yield use
        finally:
            use.release()

    def _has_room(self, sender: str, length: int) -> bool:
        held = self._held.get(sender, 0) + length
        return held <= self._limit - self._sum - length


def open_unlimited_use() -> 'MemoryUse':
    """Return bytes that count for no budget."""
    return MemoryUse(MemoryBudget(sys.maxsize))


class MemoryUse:
    """Bytes that are held for one request and the answers to it.

    Parameters
    ----------
    budget : MemoryBudget
        Bounds the bytes of all requests.
    """

    __slots__ = ('_budget', '_held')

    def __init__(self, budget: MemoryBudget) -> None:
        """Hold nothing."""
        self._budget = budget
        self._held: dict[str, int] = {}

    def add_body(self, sender: str, length: int) -> None:
        """Hold bytes of the body of a request.

        Raises
        ------
        BodyMemoryError
            If there is no room for them.
        """
        if not self._add(sender, length):
            raise BodyMemoryError('the gateway has no memory for the body')

    def add_answer(self, sender: str, length: int) -> None:
        """Hold bytes of an answer.

        Raises
        ------
        AnswerMemoryError
            If there is no room for them.
        """
        if not self._add(sender, length):
            raise AnswerMemoryError('the gateway has no memory for the answer')

    def release(self, sender: str | None = None) -> None:
        """Give back the bytes of a sender, or of all."""
        senders = tuple(self._held) if sender is None else (sender,)
        for one in senders:
            self._budget.give_back(one, self._held.pop(one, 0))

    @contextmanager
    def hold_wait(self, end: GiveUp) -> Iterator[ClientWait]:
        """Wait for a client; all is given back if others need the memory.

        Parameters
        ----------
        end : callable
            Ends the wait.

        Yields
        ------
        ClientWait
            Is renewed when the client makes progress.
        """

        def give_up() -> None:
            self.release()
            end()

        with self._budget.waits.hold(give_up) as wait:
            yield wait

    def _add(self, sender: str, length: int) -> bool:
        counted = COPIES * length
        if not self._budget.take(sender, counted):
            return False
        self._held[sender] = self._held.get(sender, 0) + counted
        return True
