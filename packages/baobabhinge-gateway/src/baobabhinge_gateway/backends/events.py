"""Server-sent events of a streamed answer, checked one by one."""

from collections.abc import AsyncIterator

import msgspec

from baobabhinge_gateway.errors import AnswerBrokenError

EVENT_END = b'\n\n'
DATA_PREFIX = b'data: '
TERMINAL_EVENT = b'data: [DONE]\n\n'
MAX_EVENT_BYTES = 1 << 20


class _Chunk(msgspec.Struct):
    id: str


async def split_events(pieces: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Cut the pieces of a body into whole events.

    Raises
    ------
    AnswerBrokenError
        If the body ends inside an event or an event is too long.
    """
    pending = b''
    async for piece in pieces:
        pending += piece
        *whole, pending = pending.split(EVENT_END)
        for event in whole:
            yield event + EVENT_END
        if len(pending) > MAX_EVENT_BYTES:
            raise AnswerBrokenError('an event of the answer is too long')
    if pending:
        raise AnswerBrokenError('the answer ended inside an event')


async def check_events(
    pieces: AsyncIterator[bytes],
    request_id: str,
) -> AsyncIterator[bytes]:
    """Yield the events of one request, the terminal one last.

    Raises
    ------
    AnswerBrokenError
        If an event names another request, or the terminal event is missing.
    """
    async for event in split_events(pieces):
        if event == TERMINAL_EVENT:
            yield event
            return
        check_request_id(event, request_id)
        yield event
    raise AnswerBrokenError('the answer ended without its terminal event')


def check_request_id(event: bytes, request_id: str) -> None:
    """Refuse an event that does not name ``request_id``.

    Raises
    ------
    AnswerBrokenError
        If it names another one or can't be read.
    """
    try:
        chunk = msgspec.json.decode(
            event.removeprefix(DATA_PREFIX),
            type=_Chunk,
        )
    except msgspec.MsgspecError as bad:
        raise AnswerBrokenError('an event of the answer is malformed') from bad
    if chunk.id != request_id:
        raise AnswerBrokenError('the answer is for another request')
