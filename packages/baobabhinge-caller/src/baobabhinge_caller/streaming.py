"""Reading a streamed completion."""

from collections.abc import AsyncIterator

import aiohttp
import msgspec

from baobabhinge_caller.exchange import ExchangeFailedError, read_problem
from baobabhinge_caller.messages import UNKNOWN, Problem

FRAME_END = b'\n'
EVENT_PREFIX = b'data: '
ERROR_PREFIX = b'event: error\ndata: '
DONE_FRAME = b'data: [DONE]\n\n'


class _Choice(msgspec.Struct):
    text: str = ''


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


async def read_texts(answer: aiohttp.ClientResponse) -> AsyncIterator[str]:
    """Yield the text of each token.

    Raises
    ------
    ExchangeFailedError
        If the stream reports an error or ends without its terminal event.
    """
    async for frame in _split_frames(answer):
        if frame == DONE_FRAME:
            return
        yield _read_text(frame)
    raise ExchangeFailedError(
        Problem('answer-broken', UNKNOWN, 'the stream ended unfinished'),
    )


async def _split_frames(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    lines: list[bytes] = []
    async for line in answer.content:
        lines.append(line)
        if line == FRAME_END:
            yield b''.join(lines)
            lines.clear()


def _read_text(frame: bytes) -> str:
    if frame.startswith(ERROR_PREFIX):
        problem = read_problem(frame.removeprefix(ERROR_PREFIX))
        raise ExchangeFailedError(problem)
    chunk = msgspec.json.decode(frame.removeprefix(EVENT_PREFIX), type=_Chunk)
    return ''.join(choice.text for choice in chunk.choices)
