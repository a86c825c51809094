"""Requests that are being sent: checked before, reset if they are abandoned."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from aiohttp.connector import Connection

from baobabhinge_gateway.errors import CallError

SendCheck = Callable[[], None]
# SO_LINGER: on, for no time. What was not sent is dropped then.
LINGER_NOT = struct.pack('ii', 1, 0)


class PendingRequest:
    """Request without an answer, and the connection that it has got.

    Parameters
    ----------
    check : callable or None
        Called once there is a connection; raises an error if the request is not
        to be sent any more.
    """

    __slots__ = ('_check', '_transport')

    def __init__(self, check: SendCheck | None) -> None:
        """Start without a connection."""
        self._check = check
        self._transport: asyncio.Transport | None = None

    def begin(self, connection: Connection) -> None:
        """Take a connection; others may use it if the check fails."""
        if self._check is not None:
            try:
                self._check()
            except CallError:
                connection.release()
                raise
        self._transport = connection.transport

    def end(self) -> None:
        """Record that the answer has begun."""
        self._transport = None

    def reset(self) -> None:
        """Reset the connection, so that the rest of the request is not sent.

        A connection that is closed delivers first what was written, and the
        request runs if that makes it whole.
        """
        transport = self._transport
        if transport is None:
            return
        opened = transport.get_extra_info('socket')
        if opened is not None and opened.fileno() >= 0:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
        transport.abort()


# Request of this context.
_pending: ContextVar[PendingRequest | None] = ContextVar('pending_request')


@contextmanager
def hold_request(check: SendCheck | None) -> Iterator[PendingRequest]:
    """Yield the request that is sent in the context; reset it if abandoned.

    Parameters
    ----------
    check : callable or None
        Check of the request before it is sent.

    Yields
    ------
    PendingRequest
        Is ended when the answer begins.
    """
    pending = PendingRequest(check)
    holding = _pending.set(pending)
    try:
        yield pending
    except (asyncio.CancelledError, TimeoutError):
        pending.reset()
        raise
    finally:
        _pending.reset(holding)


def begin_request(connection: Connection) -> None:
    """Give the request of this context its connection.

    Raises
    ------
    CallError
        If it is not to be sent any more.
    """
    pending = _pending.get(None)
    if pending is not None:
        pending.begin(connection)
