"""Reading a streamed completion."""

from collections.abc import AsyncIterator

import aiohttp

from baobabhinge_caller.exchange import (
    ExchangeFailedError,
    get_request_id,
    read_problem,
)
from baobabhinge_caller.messages import UNKNOWN, Problem
from baobabhinge_caller.tokens import Token, read_token

EVENT_END = b'\n'
EVENT_PREFIX = b'data: '
ERROR_PREFIX = b'event: error\ndata: '
DONE_EVENT = b'data: [DONE]\n\n'


async def read_tokens(
    answer: aiohttp.ClientResponse,
) -> AsyncIterator[Token]:
    """Yield each token until the terminal event of the stream.

    Raises
    ------
    ExchangeFailedError
        If the stream reports an error or ends without its terminal event.
    CallFailedError
        If an event is malformed or belongs to another request.
    """
    request_id = get_request_id(answer)
    async for event in _split_events(answer):
        if event == DONE_EVENT:
            return
        yield _read_event(event, request_id)
    raise ExchangeFailedError(
        Problem(
            'answer-broken',
            UNKNOWN,
            'the stream ended before its terminal event',
        ),
    )


async def _split_events(answer: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    lines: list[bytes] = []
    async for line in answer.content:
        lines.append(line)
        if line == EVENT_END:
            yield b''.join(lines)
            lines.clear()


def _read_event(event: bytes, request_id: str) -> Token:
    if event.startswith(ERROR_PREFIX):
        problem = read_problem(event.removeprefix(ERROR_PREFIX))
        raise ExchangeFailedError(problem)
    return read_token(event.removeprefix(EVENT_PREFIX), request_id)
