"""Stand-in of a server whose answers are sent as raw bytes."""

import asyncio
import re
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import msgspec

from baobabhinge_standins.fleet.ports import HOST, reserve_port
from baobabhinge_standins.host.unframed import RESET_ON_CLOSE

HEAD_END = b'\r\n\r\n'
LENGTH = re.compile(rb'(?i)content-length: *(\d+)')
ATTEMPT = re.compile(rb'(?i)baobabhinge-attempt-id: *([^\r]*)')
HEALTH = b'GET /health'
# In place of the attempt that is answered.
NAME = b'{attempt}'
IDENTITY = (
    b'Baobabhinge-Attempt-Id: {attempt}\r\nBaobabhinge-Response-Seal: s\r\n'
)
WHOLE = b'HTTP/1.1 200 OK\r\n%bContent-Length: 5\r\n\r\nwhole' % IDENTITY


class OddAnswer(msgspec.Struct, frozen=True):
    """Answer as bytes, and how its connection ends.

    Parameters
    ----------
    sent : bytes
        All that is sent, with `NAME` where the attempt is named.
    end : str
        ``close``, ``reset``, or ``keep`` for a connection that stays open.
    reads_body : bool
        Whether the body of the request is read before.
    seconds : float
        Time between the answer and the end.
    """

    sent: bytes
    end: str = 'keep'
    reads_body: bool = True
    seconds: float = 0.02


class OddServer:
    """Server whose next answers can be set.

    Attributes
    ----------
    address : str
        ``host:port``.
    answer : OddAnswer
        What it answers to all requests but health checks.
    requests : int
        Requests that it began to answer.
    """

    def __init__(self) -> None:
        """Answer as a sound server."""
        self.address = f'{HOST}:{reserve_port()}'
        self.answer = OddAnswer(WHOLE)
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                await writer.drain()
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        head = await reader.readuntil(HEAD_END)
        answer = self._choose(head)
        length = LENGTH.search(head)
        if answer.reads_body and length:
            await reader.readexactly(int(length[1]))
        writer.write(answer.sent.replace(NAME, _read_attempt(head)))
        if answer.end == 'keep':
            return True
        await asyncio.sleep(answer.seconds)
        if answer.end == 'reset':
            _reset(writer)
        return False

    def _choose(self, head: bytes) -> OddAnswer:
        if head.startswith(HEALTH):
            return OddAnswer(WHOLE)
        self.requests += 1
        return self.answer


def _read_attempt(head: bytes) -> bytes:
    found = ATTEMPT.search(head)
    return found[1] if found else b''


def _reset(writer: asyncio.StreamWriter) -> None:
    opened = writer.get_extra_info('socket')
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


@asynccontextmanager
async def run_odd_server() -> AsyncIterator[OddServer]:
    """Run a server whose answers can be set, until the context ends."""
    server = OddServer()
    host, _, port = server.address.rpartition(':')
    opened = await asyncio.start_server(server.serve, host, int(port))
    async with opened:
        yield server
