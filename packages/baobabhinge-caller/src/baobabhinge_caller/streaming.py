"""Reading a streamed completion."""

from collections.abc import AsyncIterator

import aiohttp

from baobabhinge_caller.chunks import Token, read_token
from baobabhinge_caller.exchange import (
    ExchangeFailedError,
    get_request_id,
    read_problem,
)
from baobabhinge_caller.messages import UNKNOWN, Problem

FRAME_END = b'\n'
EVENT_PREFIX = b'data: '
ERROR_PREFIX = b'event: error\ndata: '
DONE_FRAME = b'data: [DONE]\n\n'


async def read_tokens(
    answer: aiohttp.ClientResponse,
) -> AsyncIterator[Token]:
    """Yield each token.

    Raises
    ------
    ExchangeFailedError
        If the stream reports an error or ends without its terminal event.
    CallFailedError
        If an event is malformed or names another request.
    """
    request_id = get_request_id(answer)
    async for frame in _split_frames(answer):
        if frame == DONE_FRAME:
            return
        yield _read_frame(frame, request_id)
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


def _read_frame(frame: bytes, request_id: str) -> Token:
    if frame.startswith(ERROR_PREFIX):
        problem = read_problem(frame.removeprefix(ERROR_PREFIX))
        raise ExchangeFailedError(problem)
    return read_token(frame.removeprefix(EVENT_PREFIX), request_id)
