"""State of the connection on which a request arrived."""

from collections.abc import Mapping
from datetime import timedelta

from aiohttp import web

from baobabhinge_gateway.connections.arrival_times import measure_waited
from baobabhinge_gateway.connections.closing import is_closed_by_peer
from baobabhinge_gateway.connections.problems import CallerLeftError

NO_TIME = timedelta()
MILLISECOND = timedelta(milliseconds=1)


class CallerConnection:
    """Connection of the caller, or gateway, that waits for an answer.

    Parameters
    ----------
    request : web.BaseRequest, optional
        Request on the connection; without it, the caller never leaves.
    read_delay : timedelta, optional
        Time for which the request can have waited for the event loop.

    Attributes
    ----------
    read_delay : timedelta
        Time for which the request can have waited for the event loop.
    waited : timedelta
        Time for which it has, as far as the kernel tells.
    """

    __slots__ = ('_request', 'read_delay', 'waited')

    def __init__(
        self,
        request: web.BaseRequest | None = None,
        read_delay: timedelta = NO_TIME,
    ) -> None:
        """Store the request."""
        self._request = request
        self.read_delay = read_delay
        self.waited = NO_TIME
        if request is not None:
            self.waited = measure_waited(request.transport, read_delay)

    @property
    def is_read(self) -> bool:
        """Whether the event loop reads the connection, and sees its end."""
        if self._request is None:
            return True
        transport = self._request.transport
        return transport is not None and transport.is_reading()

    def has_left(self) -> bool:
        """Return whether the caller has closed or reset the connection."""
        if self._request is None:
            return False
        return is_closed_by_peer(self._request.transport)

    def check(self) -> None:
        """Check that the answer is still waited for.

        The event loop may have found the request and the end of the connection
        together, and reads the latter only after the request was handled.

        Raises
        ------
        CallerLeftError
            If the caller has left.
        """
        if self.has_left():
            raise CallerLeftError('the caller closed its connection')

    def describe(self) -> Mapping[str, object]:
        """Return the fields of a log line on the end of the call."""
        return {
            'caller_left': self.has_left(),
            'is_read': self.is_read,
            'read_delay_ms': self.read_delay // MILLISECOND,
        }
