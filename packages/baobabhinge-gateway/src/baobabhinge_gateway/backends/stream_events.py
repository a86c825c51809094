"""Server-sent events of a streamed answer, checked as they arrive.

References
----------
WHATWG HTML, section 9.2, Server-sent events.
"""

from collections.abc import AsyncIterator

import msgspec

from baobabhinge_gateway.backends.completion_chunks import (
    decode_completion_chunk,
)
from baobabhinge_gateway.backends.event_splitting import split_events
from baobabhinge_gateway.errors import AnswerBrokenError, AnswerTruncatedError
from baobabhinge_gateway.errors.relayed import decode_problem

DATA_PREFIX = b'data: '
ERROR_PREFIX = b'event: error\ndata: '
TERMINAL_EVENT = b'data: [DONE]\n\n'


class StreamEvent(msgspec.Struct, frozen=True):
    """Checked event of a streamed answer.

    Parameters
    ----------
    frame : bytes
        Bytes of the event as received, with the empty line that ends it.
    has_text : bool
        Whether it contains text of a token.
    is_terminal : bool
        Whether it ends the answer.
    """

    frame: bytes
    has_text: bool = False
    is_terminal: bool = False


async def check_events(
    chunks: AsyncIterator[bytes],
    request_id: str,
) -> AsyncIterator[StreamEvent]:
    """Yield the checked events of the answer to one request.

    The terminal event is the last one; anything after it is dropped.

    Raises
    ------
    CallError
        If an event names another request or reports an error, or if the
        terminal event is missing.
    """
    async for frame in split_events(chunks):
        event = parse_event(frame, request_id)
        yield event
        if event.is_terminal:
            return
    raise AnswerTruncatedError('the answer ended without its terminal event')


def parse_event(frame: bytes, request_id: str) -> StreamEvent:
    """Return the event encoded in ``frame``.

    Raises
    ------
    CallError
        If it names another request, is malformed or reports an error.
    """
    if frame == TERMINAL_EVENT:
        return StreamEvent(frame, is_terminal=True)
    if frame.startswith(ERROR_PREFIX):
        raise decode_problem(frame.removeprefix(ERROR_PREFIX))
    chunk = decode_completion_chunk(frame.removeprefix(DATA_PREFIX))
    if chunk.id != request_id:
        raise AnswerBrokenError('an event of the answer names another request')
    return StreamEvent(frame, has_text=chunk.has_text)
