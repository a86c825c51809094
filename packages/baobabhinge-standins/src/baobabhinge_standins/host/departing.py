"""Callers that leave before their requests are answered."""

import socket
import struct
from itertools import count

from baobabhinge_standins.host.calling import PATIENCE_MS
from baobabhinge_standins.host.configuration import HOST

LINE_END = '\r\n'
CONNECT_SECONDS = 5
# On, for no time.
LINGER_NOT = struct.pack('ii', 1, 0)

_ATTEMPTS = count(1)


class DepartingCaller:
    """Caller with one connection.

    Its calls do not run the event loop, so that a gateway in this process finds
    all that was done since its latest run at once.

    Parameters
    ----------
    address : str
        ``host:port`` of the gateway.

    Attributes
    ----------
    attempts : list of str
        Attempts that were sent.
    """

    __slots__ = ('_opened', 'attempts')

    def __init__(self, address: str) -> None:
        """Connect."""
        host, _, port = address.rpartition(':')
        self._opened = socket.create_connection(
            (host, int(port)), CONNECT_SECONDS
        )
        self.attempts: list[str] = []

    def send(self, path: str, body: bytes = b'body') -> None:
        """Send one request, as far as the kernel takes it."""
        attempt = f'departing-{next(_ATTEMPTS)}'
        self.attempts.append(attempt)
        lines = (
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            f'Baobabhinge-Attempt-Id: {attempt}',
            f'Baobabhinge-Deadline-Ms: {PATIENCE_MS}',
            f'Content-Length: {len(body)}',
            LINE_END,
        )
        self._opened.setblocking(False)
        self._opened.send(LINE_END.join(lines).encode() + body)

    def leave(self, *, resets: bool) -> None:
        """Close the connection, or reset it."""
        if resets:
            self._opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT
            )
        self._opened.close()
