"""Stand-in of a server, store or gateway whose answers have no end."""

import asyncio
import enum
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from baobabhinge_standins.fleet.ports import HOST, reserve_port

ATTEMPT_FIELD = b'baobabhinge-attempt-id:'
REPEATS = 4096
MAX_WRITE_BYTES = 1 << 20
LATE_SECONDS = 0.05

OK = b'HTTP/1.1 200 OK'
CHUNKED = b'Transfer-Encoding: chunked'
BYTE = b'x'
PIECE = BYTE * (1 << 16)
LARGE_CHUNK = b''.join((b'10000\r\n', PIECE, b'\r\n'))
EMPTY = b''


def _join(*lines: bytes) -> bytes:
    return b'\r\n'.join(lines)


WHOLE = _join(OK, b'Content-Length: 1', EMPTY, BYTE)


class EndlessAnswer(enum.Enum):
    """What is sent once, and what is sent again and again after it.

    Fields that identify the request follow the first line. Late bytes come
    after a pause.
    """

    no_protocol = (EMPTY, b'no answer ')
    status_line = (b'HTTP/1.1 200 ', b'OK')
    field = (_join(OK, b'Long: '), BYTE)
    fields = (_join(OK, EMPTY), b'Many: fields\r\n')
    interim_answers = (EMPTY, b'HTTP/1.1 100 Continue\r\n\r\n')
    body = (_join(OK, EMPTY, EMPTY), BYTE)
    chunks = (_join(OK, CHUNKED, EMPTY, EMPTY), b'1\r\nx\r\n')
    large_body = (_join(OK, EMPTY, EMPTY), PIECE)
    large_chunks = (_join(OK, CHUNKED, EMPTY, EMPTY), LARGE_CHUNK)
    failed_chunks = (
        _join(b'HTTP/1.1 500 Failed', CHUNKED, EMPTY, EMPTY),
        LARGE_CHUNK,
    )
    chunk_extension = (_join(OK, CHUNKED, EMPTY, b'1;'), BYTE)
    trailers = (_join(OK, CHUNKED, EMPTY, b'0', EMPTY), b'Many: trailers\r\n')
    declined = (
        _join(
            b'HTTP/1.1 503 Busy', b'Baobabhinge-Not-Executed: 1', EMPTY, EMPTY
        ),
        BYTE,
    )
    late_bytes = (WHOLE, BYTE)
    late_answers = (WHOLE, WHOLE)

    @property
    def is_late(self) -> bool:
        """Whether a complete answer comes first."""
        return self in {EndlessAnswer.late_bytes, EndlessAnswer.late_answers}


class EndlessServer:
    """Server that sends until the other side closes.

    Parameters
    ----------
    answer : EndlessAnswer
        What it sends.

    Attributes
    ----------
    address : str
        ``host:port``.
    sent : int
        Bytes written so far on all connections.
    requests : int
        Requests that it began to answer.
    open_connections : int
        Connections that have not been closed.
    """

    def __init__(self, answer: EndlessAnswer) -> None:
        """Prepare the answer."""
        self._answer = answer
        self.address = f'{HOST}:{reserve_port()}'
        self.sent = 0
        self.requests = 0
        self.open_connections = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer on one connection until it is closed."""
        self.open_connections += 1
        try:
            await self._send_forever(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self.open_connections -= 1

    async def _send_forever(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request = await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        start, repeated = self._answer.value
        writer.write(_add_fields(start, _list_echoes(request)))
        if self._answer.is_late:
            await asyncio.sleep(LATE_SECONDS)
        written = repeated * min(REPEATS, MAX_WRITE_BYTES // len(repeated))
        while not writer.transport.is_closing():
            writer.write(written)
            await writer.drain()
            self.sent += len(written)
            await asyncio.sleep(0)


def _list_echoes(request: bytes) -> list[bytes]:
    for line in request.split(b'\r\n'):
        if line.lower().startswith(ATTEMPT_FIELD):
            return [line, b'Baobabhinge-Response-Seal: seal']
    return []


def _add_fields(start: bytes, fields: list[bytes]) -> bytes:
    first, *others = start.split(b'\r\n')
    if not others:
        return start
    return _join(first, *fields, *others)


@asynccontextmanager
async def run_endless_server(
    answer: EndlessAnswer,
) -> AsyncIterator[EndlessServer]:
    """Run a server whose answers have no end, until the context ends."""
    server = EndlessServer(answer)
    host, _, port = server.address.rpartition(':')
    opened = await asyncio.start_server(server.serve, host, int(port))
    async with opened:
        yield server
