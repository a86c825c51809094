"""Connections that their peers have closed, read or not.

Load pattern: clients send far ahead and leave. The event loop sees the end of a
connection only while it reads it, and it does not read one on which many bytes
wait for their turn.
"""

import asyncio
import select
from datetime import timedelta
from typing import Any

from aiohttp import web

# Servers are to end the runs of clients that left within half a second; two
# gateways may notice it one after the other.
CHECK_INTERVAL = timedelta(milliseconds=100)


def is_closed_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the peer has closed or reset its connection.

    The kernel tells it also while nothing is read, and before bytes that came
    earlier are.

    Parameters
    ----------
    transport : asyncio.BaseTransport or None
        Transport of the connection; ``None`` once it is lost.
    """
    if transport is None or transport.is_closing():
        return True
    opened = transport.get_extra_info('socket')
    if opened is None:
        return False
    # A reset is reported without being asked for.
    polled = select.poll()
    polled.register(opened.fileno(), select.POLLRDHUP)
    return bool(polled.poll(0))


class WatchedConnection(web.RequestHandler):
    """Connection whose end is noticed also while it is not read."""

    __slots__ = ('_check',)

    def __init__(self, *details: Any, **options: Any) -> None:
        """Prepare a connection that is read."""
        super().__init__(*details, **options)
        self._check: asyncio.TimerHandle | None = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Check it no more."""
        if self._check is not None:
            self._check.cancel()
        super().connection_lost(exc)

    def _pause_transport_reading(self) -> None:
        super()._pause_transport_reading()
        if self._check is None:
            self._schedule_check()

    def _schedule_check(self) -> None:
        self._check = self._loop.call_later(
            CHECK_INTERVAL.total_seconds(), self._check_closed
        )

    def _check_closed(self) -> None:
        self._check = None
        transport = self.transport
        if transport is None or transport.is_reading():
            return
        if is_closed_by_peer(transport):
            # As the event loop does when it reads the end.
            transport.close()
        else:
            self._schedule_check()
