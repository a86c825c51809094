"""Connection of a client whose unread requests are bounded."""

from typing import Any

from aiohttp import StreamReader, web

from baobabhinge_gateway.connections.closing import WatchedConnection
from baobabhinge_gateway.connections.limits import (
    AHEAD_BYTES,
    WRITE_BUFFER_BYTES,
)
from baobabhinge_gateway.deployment import RequestLimits


class BoundedConnection(WatchedConnection):
    """Connection that stops reading far ahead of the request in progress.

    Attributes
    ----------
    request : BaseRequest or None
        Request in progress.
    since : float
        Time of the event loop in seconds at which the connection was made, or
        the latest request ended.
    head_since : float or None
        When the first bytes of an unfinished head came.
    """

    __slots__ = (
        '_ahead_bytes',
        '_ended_count',
        '_head_bytes',
        '_is_reading_ahead',
        '_latest_body',
        'head_since',
        'request',
        'since',
    )

    def __init__(self, *details: Any, **options: Any) -> None:
        """Prepare a connection without requests."""
        super().__init__(*details, **options)
        self.request: web.BaseRequest | None = None
        self.since = self._loop.time()
        self.head_since: float | None = None
        # Body of the latest request; it may go on after the answer.
        self._latest_body: StreamReader | None = None
        self._ended_count = 0
        self._head_bytes = 0
        self._ahead_bytes = 0
        self._is_reading_ahead = False

    def data_received(self, received: bytes) -> None:
        """Parse bytes; stop reading while too many wait for their turn."""
        is_body = self._latest_body is not None and not (
            self._latest_body.is_eof()
        )
        super().data_received(received)
        if received and not is_body:
            self._count_outside_bodies(len(received))

    @property
    def is_first_request(self) -> bool:
        """Whether no request of the connection has been answered."""
        return self._ended_count == 0

    def begin(self, request: web.BaseRequest) -> None:
        """Record that a request is in progress."""
        self.request = request
        self._latest_body = request.content
        self.head_since = None
        self._head_bytes = 0

    def end(self) -> None:
        """Record that the request has been answered; read on."""
        self.request = None
        self.since = self._loop.time()
        self._ended_count += 1
        self._ahead_bytes = 0
        if self._is_reading_ahead:
            self._is_reading_ahead = False
            # The library resumes on its own what it has paused.
            if not self._reading_paused and not self._buffer_paused:
                self._resume_transport_reading()

    def is_overdue(self, now: float, limits: RequestLimits) -> bool:
        """Return whether the client took too long for a head, or was idle.

        Parameters
        ----------
        now : float
            Time of the event loop in seconds.
        limits : RequestLimits
            Limits of the configuration in force.
        """
        if self.request is not None:
            return False
        # The limit is that of each field, and of all with some framing.
        if self._head_bytes > 2 * limits.head_bytes:
            return True
        if self.head_since is not None:
            return now - self.head_since > limits.head_time.total_seconds()
        return now - self.since > limits.idle_time.total_seconds()

    def _count_outside_bodies(self, length: int) -> None:
        if self.request is not None:
            self._ahead_bytes += length
            if self._ahead_bytes > AHEAD_BYTES:
                self._is_reading_ahead = True
                self._pause_transport_reading()
        elif self._request_count == self._ended_count:
            self._head_bytes += length
            self.head_since = self.head_since or self._loop.time()


def bound_writes(connection: web.RequestHandler) -> None:
    """Make writers wait while some KB of an answer are not sent yet."""
    if connection.transport is not None:
        connection.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
