"""Cutting the body of a streamed answer into events."""

from collections.abc import AsyncIterator

from baobabhinge_gateway.errors import AnswerBrokenError, AnswerTruncatedError

EVENT_END = b'\n\n'
COMMENT_PREFIX = b':'
MAX_EVENT_BYTES = 1 << 20


async def split_events(pieces: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the whole events of a body, without its comments.

    Raises
    ------
    AnswerBrokenError
        If the body ends inside an event or an event is too long.
    """
    pending = b''
    async for piece in pieces:
        *whole, pending = (pending + piece).split(EVENT_END)
        for event in whole:
            if not event.startswith(COMMENT_PREFIX):
                yield event + EVENT_END
        if len(pending) > MAX_EVENT_BYTES:
            raise AnswerBrokenError('an event of the answer is too long')
    if pending:
        raise AnswerTruncatedError('the answer ended inside an event')
