"""Which connections of a listener are in use, and which were never used."""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta

from aiohttp import web

# Above the time between a connection and its first request.
FIRST_REQUEST_TIMEOUT = timedelta(milliseconds=300)
CHECK_INTERVAL = timedelta(milliseconds=10)
# Iterations of the event loop from bytes at a socket to a request in progress.
READING_ITERATIONS = 4
# Connections that have ended are forgotten beyond this number.
MAX_REMEMBERED = 1024

ConnectionLister = Callable[[], Iterable[web.RequestHandler]]


class ConnectionUse:
    """Use of the connections of one listener.

    Parameters
    ----------
    list_open : callable
        Returns the open connections.

    Attributes
    ----------
    active : dict of RequestHandler to BaseRequest
        Requests that are being answered, by connection.
    """

    __slots__ = ('_list_open', '_used', 'active')

    def __init__(self, list_open: ConnectionLister) -> None:
        """Start without connections."""
        self._list_open = list_open
        self._used: set[web.RequestHandler] = set()
        self.active: dict[web.RequestHandler, web.BaseRequest] = {}

    @contextmanager
    def hold(self, request: web.BaseRequest) -> Iterator[None]:
        """Count a request while the context is open."""
        connection = request.protocol
        self._used.add(connection)
        if len(self._used) > MAX_REMEMBERED:
            self._used.intersection_update(self._list_open())
        self.active[connection] = request
        try:
            yield
        finally:
            self.active.pop(connection, None)

    async def wait_for_first_requests(self) -> None:
        """Return once no connection lacks its first request, or after a while.

        Requests that have arrived are in progress then.
        """
        for _ in range(FIRST_REQUEST_TIMEOUT // CHECK_INTERVAL):
            if self._used.issuperset(self._list_open()):
                break
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
        for _ in range(READING_ITERATIONS):
            await asyncio.sleep(0)
