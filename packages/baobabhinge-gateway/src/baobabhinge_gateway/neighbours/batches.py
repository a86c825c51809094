"""Socket whose datagrams are read in batches.

Load pattern: hundreds of gateways whose datagrams arrive one by one. A wake-up
of the event loop for each of them costs several times what the datagram costs.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from datetime import timedelta
from typing import Protocol

# Delays what is received by half of it on average, a thirtieth of the interval
# of heartbeats.
READ_PAUSE = timedelta(milliseconds=20)
# Other work of the process has its turn between two batches. On a tenth of a
# core, a batch of heartbeats takes some 40 ms.
MAX_BATCH = 32
MAX_DATAGRAM_BYTES = 65536

Address = tuple[str, int]


class Receiver(Protocol):
    """Consumer of datagrams."""

    def receive(self, datagram: bytes, source: Address) -> None:
        """Take one datagram; errors are handled there."""

    def record_failure(self, failure: Exception) -> None:
        """Record that a datagram could not be sent or read."""


class DatagramSocket(Protocol):
    """Socket that sends datagrams."""

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram, or record that it was not sent."""


SocketOpener = Callable[
    [Receiver, Address], AbstractAsyncContextManager[DatagramSocket]
]


class BatchSocket:
    """Datagram socket that wakes the process once for a batch.

    The first datagram after a pause is read at once; those that arrive within
    `READ_PAUSE` after it are read together.

    Parameters
    ----------
    opened : socket.socket
        Bound socket that does not block.
    receiver : Receiver
        Gets the datagrams.
    """

    __slots__ = ('_loop', '_pause', '_receiver', '_socket')

    def __init__(self, opened: socket.socket, receiver: Receiver) -> None:
        """Start reading."""
        self._loop = asyncio.get_running_loop()
        self._socket = opened
        self._receiver = receiver
        self._pause: asyncio.Handle | None = None
        self._await_datagrams()

    def send(self, datagram: bytes, address: Address) -> None:
        """Send a datagram, or record that it was not sent."""
        try:
            self._socket.sendto(datagram, address)
        except OSError as failure:
            self._receiver.record_failure(failure)

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self._pause is not None:
            self._pause.cancel()
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _await_datagrams(self) -> None:
        self._pause = None
        self._loop.add_reader(self._socket.fileno(), self._begin_batches)

    def _begin_batches(self) -> None:
        self._loop.remove_reader(self._socket.fileno())
        self._read_batch()

    def _read_batch(self) -> None:
        count = self._read_available()
        if count == MAX_BATCH:
            # More may be waiting, as after a time in which the process stood.
            self._pause = self._loop.call_soon(self._read_batch)
        elif count:
            self._pause = self._loop.call_later(
                READ_PAUSE.total_seconds(), self._read_batch
            )
        else:
            self._await_datagrams()

    def _read_available(self) -> int:
        """Pass on what has arrived; return the number of datagrams."""
        for count in range(MAX_BATCH):
            try:
                received = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError as failure:
                self._receiver.record_failure(failure)
                return count
            self._receiver.receive(*received)
        return MAX_BATCH


@asynccontextmanager
async def open_socket(
    receiver: Receiver, address: Address
) -> AsyncIterator[BatchSocket]:
    """Open the socket of a gateway, and close it at the end.

    Parameters
    ----------
    receiver : Receiver
        Gets the datagrams.
    address : tuple of str and int
        Address of the socket.

    Yields
    ------
    BatchSocket
        Sends datagrams.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    try:
        opened.bind(address)
    except OSError:
        opened.close()
        raise
    batches = BatchSocket(opened, receiver)
    try:
        yield batches
    finally:
        batches.close()
