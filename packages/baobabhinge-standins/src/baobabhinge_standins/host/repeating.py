"""Stand-in of a backend server that answers one request twice.

The second copy comes late, once the next request has arrived on the connection.
"""

import asyncio
import enum
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

HEAD_END = b'\r\n\r\n'
LINE_END = '\r\n'
ATTEMPT = 'Baobabhinge-Attempt-Id'
EMPTY_STATUSES = frozenset((204, 304))
ENTRY_SLOTS = 6
HEALTHY = 200
UNAVAILABLE = 503
REFUSED = {'Baobabhinge-Not-Executed': '1', 'Content-Length': '0'}
# Between the late copy of an answer and the answer to the next request.
ANSWER_SECONDS = 0.03


class CopyTime(enum.Enum):
    """When the second copy of an answer is sent."""

    never = 'never'
    at_once = 'together with the answer'
    later = 'before the next request'
    within_next = 'once the next request has arrived'
    instead = 'in place of the answer to the next request'


LATE = frozenset((CopyTime.within_next, CopyTime.instead))


class RepeatingServer(msgspec.Struct):
    """Server that repeats its answers.

    Parameters
    ----------
    name, service, zone, address : str
        Its entry in the list.
    status : int
        Status of its answers.
    interim : bytes
        Sent before each answer.
    copied : CopyTime
        When answers are repeated.
    refused : list of bool
        As long as the number of the next requests that are refused.
    names_refused : bool
        Whether refusals name the attempt.
    runs : list of str
        Attempts that were run.
    """

    name: str
    service: str
    zone: str
    address: str = ''
    status: int = 200
    interim: bytes = b''
    copied: CopyTime = CopyTime.never
    refused: list[bool] = []
    names_refused: bool = True
    runs: list[str] = []

    def describe(self) -> dict[str, object]:
        """Return its entry in the list."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': ENTRY_SLOTS,
            'state': 'ready',
            'cold-left-ms': 0,
            'seq': 1,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        late = b''
        try:
            while True:
                answer = await self._read_request(reader)
                if late:
                    writer.write(late)
                    await asyncio.sleep(ANSWER_SECONDS)
                if not late or self.copied is not CopyTime.instead:
                    writer.write(self.interim + answer)
                late = answer if self.copied in LATE else b''
                await self._repeat(writer, answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _read_request(self, reader: asyncio.StreamReader) -> bytes:
        head = (await reader.readuntil(HEAD_END)).decode()
        line, *fields = head.rstrip().split(LINE_END)
        headers = dict(one.split(': ', 1) for one in fields)
        await reader.readexactly(int(headers.get('Content-Length', 0)))
        answer = self._compose(headers.get(ATTEMPT, ''))
        return answer[0] if line.startswith('HEAD') else b''.join(answer)

    async def _repeat(
        self, writer: asyncio.StreamWriter, answer: bytes
    ) -> None:
        if self.copied is CopyTime.later:
            await writer.drain()
            await asyncio.sleep(0)
        if self.copied in {CopyTime.at_once, CopyTime.later}:
            writer.write(answer)
        await writer.drain()

    def _compose(self, attempt: str) -> tuple[bytes, bytes]:
        """Return head and body of the answer to an attempt or health check."""
        if attempt and self.refused:
            self.refused.pop()
            named = attempt if self.names_refused else ''
            return _compose_head(UNAVAILABLE, {ATTEMPT: named, **REFUSED}), b''
        self.runs.append(attempt)
        status = self.status if attempt else HEALTHY
        body = '' if status in EMPTY_STATUSES else f'answer to {attempt}'
        fields = {
            ATTEMPT: attempt,
            'Baobabhinge-Response-Seal': f'seal.{attempt}',
            'Baobabhinge-Instance-Id': self.name,
            'Content-Length': str(len(body)) if body else '',
        }
        return _compose_head(status, fields), body.encode()


def _compose_head(status: int, fields: dict[str, str]) -> bytes:
    lines = [f'{name}: {text}' for name, text in fields.items() if text]
    head = LINE_END.join((f'HTTP/1.1 {status} Status', *lines))
    return head.encode() + HEAD_END


@asynccontextmanager
async def open_repeating(
    host: str, service: str, zone: str
) -> AsyncIterator[RepeatingServer]:
    """Serve until the context ends."""
    server = RepeatingServer('repeating', service, zone)
    opened = await asyncio.start_server(server.serve, host, 0)
    port = opened.sockets[0].getsockname()[1]
    server.address = f'{host}:{port}'
    try:
        yield server
    finally:
        opened.close()
