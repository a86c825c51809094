"""Requests and answers that wait for their clients.

Load pattern: many clients send bodies without their end, or don't read
answers. What is held for them is given up when others need the memory or the
descriptors, in the order in which the clients made their last progress.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import structlog

from baobabhinge_gateway.connections.limits import MIN_WAIT

GiveUp = Callable[[], None]

log = structlog.get_logger(__name__)


class ClientWait:
    """One request or answer that waits for its client.

    Parameters
    ----------
    give_up : callable
        Gives back the memory and ends the wait.
    """

    __slots__ = ('_give_up', '_waits')

    def __init__(self, waits: dict['ClientWait', float], give_up: GiveUp):
        """Begin to wait."""
        self._waits = waits
        self._give_up = give_up
        self.renew()

    def renew(self) -> None:
        """Record that the client made progress."""
        self.end()
        self._waits[self] = time.monotonic()

    def end(self) -> None:
        """Wait no more."""
        self._waits.pop(self, None)

    def give_up(self) -> None:
        """End the wait, as others need what it holds."""
        self.end()
        self._give_up()


class ClientWaits:
    """All requests and answers that wait for their clients."""

    __slots__ = ('_waits',)

    def __init__(self) -> None:
        """Start without any."""
        # In the order of the last progress.
        self._waits: dict[ClientWait, float] = {}

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waits)

    @contextmanager
    def hold(self, give_up: GiveUp) -> Iterator[ClientWait]:
        """Yield a wait that ends with the context.

        Parameters
        ----------
        give_up : callable
            Called at most once, if others need what the wait holds.

        Yields
        ------
        ClientWait
            Is renewed when the client makes progress.
        """
        wait = ClientWait(self._waits, give_up)
        try:
            yield wait
        finally:
            wait.end()

    def relieve(self, min_wait: timedelta = MIN_WAIT) -> bool:
        """Give up the request or answer whose client waits longest.

        Returns whether there was one without progress for ``min_wait``.
        """
        longest = next(iter(self._waits.items()), None)
        if longest is None:
            return False
        wait, since = longest
        age = time.monotonic() - since
        if age < min_wait.total_seconds():
            return False
        wait.give_up()
        log.warning('client-given-up', waited_ms=round(age * 1000))
        return True
