"""Stand-ins of backend servers that fall over when they turn calls away."""

import asyncio
from collections import deque


class ServerBrittleness:
    """Room of a server, and how many refusals in a second it stands.

    Attributes
    ----------
    room : int or None
        Requests that it runs or lets wait at once; ``None`` for any number.
    stands : float
        Requests that it turns away in a second without falling over.
    work_seconds : float
        Time that it works on a request.
    falls : int
        How often it fell over; it is back at once, so that each counts.
    """

    __slots__ = ('_open', '_refused', 'falls', 'room', 'stands', 'work_seconds')

    def __init__(self) -> None:
        """Have room for all requests."""
        self.room: int | None = None
        self.stands: float = 0
        self.work_seconds: float = 0
        self.falls = 0
        self._open = 0
        self._refused: deque[float] = deque()

    def try_begin(self) -> bool:
        """Count a request as open if there is room, else as refused."""
        if self.room is None or self._open < self.room:
            self._open += 1
            return True
        now = asyncio.get_running_loop().time()
        self._refused.append(now)
        while self._refused[0] < now - 1:
            self._refused.popleft()
        if len(self._refused) > self.stands:
            self.falls += 1
            self._refused.clear()
        return False

    def end(self) -> None:
        """Count a request as open no more."""
        self._open -= 1
