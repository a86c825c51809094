"""Server-sent events of a streamed answer, checked one by one.

References
----------
WHATWG HTML, section 9.2, Server-sent events.
"""

from collections.abc import AsyncIterator

import msgspec

from baobabhinge_gateway.backends.chunks import decode_chunk
from baobabhinge_gateway.backends.splitting import split_events
from baobabhinge_gateway.errors import AnswerBrokenError, AnswerTruncatedError
from baobabhinge_gateway.errors.relayed import decode_problem

DATA_PREFIX = b'data: '
ERROR_PREFIX = b'event: error\ndata: '
TERMINAL_EVENT = b'data: [DONE]\n\n'


class Event(msgspec.Struct, frozen=True):
    """One checked event.

    Parameters
    ----------
    frame : bytes
        The event as it stands on the wire.
    has_text : bool
        Whether it carries a token.
    is_terminal : bool
        Whether it ends the answer.
    """

    frame: bytes
    has_text: bool = False
    is_terminal: bool = False


async def check_events(
    pieces: AsyncIterator[bytes],
    request_id: str,
) -> AsyncIterator[Event]:
    """Yield the events of one request, the terminal one last.

    Raises
    ------
    CallError
        If an event names another request or reports an error, or if the
        terminal event is missing.
    """
    async for frame in split_events(pieces):
        event = read_event(frame, request_id)
        yield event
        if event.is_terminal:
            return
    raise AnswerTruncatedError('the answer ended without its terminal event')


def read_event(frame: bytes, request_id: str) -> Event:
    """Return the event in ``frame``.

    Raises
    ------
    CallError
        If it names another request, can't be read or reports an error.
    """
    if frame == TERMINAL_EVENT:
        return Event(frame, is_terminal=True)
    if frame.startswith(ERROR_PREFIX):
        raise decode_problem(frame.removeprefix(ERROR_PREFIX))
    chunk = decode_chunk(frame.removeprefix(DATA_PREFIX))
    if chunk.id != request_id:
        raise AnswerBrokenError('the answer is for another request')
    return Event(frame, has_text=chunk.has_text)
