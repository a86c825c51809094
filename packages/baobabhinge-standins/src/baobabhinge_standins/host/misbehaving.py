"""Clients that read slowly, or leave bodies unfinished or answers unread."""

import asyncio
import socket
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from itertools import count

from baobabhinge_standins.host.configuration import HOST

RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 1024
READ_INTERVAL_SECONDS = 1
LINE_END = '\r\n'

_ATTEMPTS = count(1)


def compose_request(path: str, body: bytes | None = b'body') -> bytes:
    """Return a request; without a body, the head of a chunked one."""
    framing = 'Transfer-Encoding: chunked'
    if body is not None:
        framing = f'Content-Length: {len(body)}'
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Baobabhinge-Attempt-Id: misbehaving-{next(_ATTEMPTS)}',
        framing,
        LINE_END,
    )
    return LINE_END.join(lines).encode() + (body or b'')


class MisbehavingClient:
    """One connection of a client.

    Parameters
    ----------
    address : str
        ``host:port`` of the gateway.
    """

    __slots__ = ('_address', '_opened')

    def __init__(self, address: str) -> None:
        """Create a socket with a small receive buffer."""
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._opened = socket.socket()
        self._opened.setblocking(False)
        self._opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    async def send(self, sent: bytes) -> None:
        """Connect and send all, as far as the gateway takes it."""
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_connect(self._opened, self._address)
            await loop.sock_sendall(self._opened, sent)

    async def send_and_read_slowly(self, sent: bytes) -> None:
        """Send all and read some of the answer every second."""
        await self.send(sent)
        while True:
            with suppress(OSError):
                self._opened.recv(READ_BYTES)
            await asyncio.sleep(READ_INTERVAL_SECONDS)

    def close(self) -> None:
        """Close the connection."""
        self._opened.close()


@asynccontextmanager
async def open_crowd(
    address: str, requests: list[bytes], *, reads: bool = False
) -> AsyncIterator[None]:
    """Keep a client for each of these bytes until the context ends.

    Parameters
    ----------
    address : str
        ``host:port`` of the gateway.
    requests : list of bytes
        What each client sends.
    reads : bool, optional
        Whether the clients read, slowly.
    """
    clients = [MisbehavingClient(address) for _ in requests]
    running = [
        asyncio.create_task(
            client.send_and_read_slowly(sent) if reads else client.send(sent)
        )
        for client, sent in zip(clients, requests, strict=True)
    ]
    try:
        yield
    finally:
        await _end(running, clients)


async def _end(
    running: Sequence[asyncio.Task[None]], clients: Sequence[MisbehavingClient]
) -> None:
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    for client in clients:
        client.close()
