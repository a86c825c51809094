"""Callers that send one request after another until a gateway ends."""

import asyncio
from collections.abc import Sequence
from itertools import count

from baobabhinge_standins.host.configuration import HOST

HEAD_END = b'\r\n\r\n'
CHUNK_END = b'\r\n'
LAST_CHUNK = b'0\r\n'
LENGTH = 'content-length: '
CLOSING = 'connection: close'
PAUSE_SECONDS = 0.002
# A request that was sent earlier than this before the end of its connection
# did not cross it.
CROSSING_SECONDS = 0.05

_ATTEMPTS = count(1)


class PersistentCaller:
    """Caller that uses its connections again, or a new one for each request.

    Parameters
    ----------
    address : str
        ``host:port`` of the gateway.
    path : str
        Path of its requests.
    pipelined : int, optional
        Requests that it sends together.

    Attributes
    ----------
    answered : set of str
        Attempts that were answered.
    cut : set of str
        Attempts that were cut off: the first on their connection, or sent a
        while before its end.
    """

    def __init__(self, address: str, path: str, pipelined: int = 1) -> None:
        """Send nothing yet."""
        self._address = address.split(':')
        self._path = path
        self._pipelined = pipelined
        self.answered: set[str] = set()
        self.cut: set[str] = set()

    async def send_until_refused(self, *, keeps: bool) -> None:
        """Send requests until no connection is accepted.

        Parameters
        ----------
        keeps : bool
            Whether connections are used for more than one batch of requests.
        """
        while True:
            try:
                opened = await asyncio.open_connection(*self._address)
            except OSError:
                return
            is_open = await self._send_batch(opened, is_first=True)
            while is_open and keeps:
                await asyncio.sleep(PAUSE_SECONDS)
                is_open = await self._send_batch(opened, is_first=False)
            opened[1].close()

    async def _send_batch(
        self,
        opened: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        *,
        is_first: bool,
    ) -> bool:
        """Return whether the connection stays open."""
        attempts = [f'kept-{next(_ATTEMPTS)}' for _ in range(self._pipelined)]
        read_time = asyncio.get_running_loop().time
        crossing_end = read_time() + CROSSING_SECONDS
        opened[1].write(b''.join(map(self._compose, attempts)))
        heads = await self._read_answers(opened[0], attempts)
        # A request behind the last answer was not read.
        if not heads and (is_first or read_time() > crossing_end):
            self.cut.add(attempts[0])
        is_whole = len(heads) == len(attempts)
        return is_whole and CLOSING not in heads[-1]

    async def _read_answers(
        self, reader: asyncio.StreamReader, attempts: Sequence[str]
    ) -> Sequence[str]:
        heads: list[str] = []
        for attempt in attempts:
            head = await read_answer(reader)
            if not head:
                break
            self.answered.add(attempt)
            heads.append(head)
            if CLOSING in head:
                break
        return heads

    def _compose(self, attempt: str) -> bytes:
        lines = (
            f'POST {self._path} HTTP/1.1',
            f'Host: {HOST}',
            f'Baobabhinge-Attempt-Id: {attempt}',
            'Baobabhinge-Deadline-Ms: 5000',
            'Content-Length: 4',
        )
        return b''.join(('\r\n'.join(lines).encode(), HEAD_END, b'body'))


async def read_answer(reader: asyncio.StreamReader) -> str:
    """Return the head of an answer in lower case; empty if it is not whole."""
    try:
        return await _read_whole(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return ''


async def _read_whole(reader: asyncio.StreamReader) -> str:
    head = (await reader.readuntil(HEAD_END)).decode().lower()
    if LENGTH in head:
        length = head.partition(LENGTH)[2].split()[0]
        await reader.readexactly(int(length))
        return head
    line = b''
    while line != LAST_CHUNK:
        line = await reader.readuntil(CHUNK_END)
    await reader.readuntil(CHUNK_END)
    return head
