"""Cutting the body of a streamed answer into events."""

from collections.abc import AsyncIterator

from baobabhinge_gateway.errors import AnswerBrokenError, AnswerSeveredError

EVENT_SEPARATOR = b'\n\n'
COMMENT_PREFIX = b':'
MAX_EVENT_BYTES = 1 << 20


async def split_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the whole events of a body, without its comments.

    Raises
    ------
    AnswerBrokenError
        If the body ends inside an event or an event is too long.
    """
    pending = b''
    async for chunk in chunks:
        *whole, pending = (pending + chunk).split(EVENT_SEPARATOR)
        for event in whole:
            if not event.startswith(COMMENT_PREFIX):
                yield event + EVENT_SEPARATOR
        if len(pending) > MAX_EVENT_BYTES:
            raise AnswerBrokenError('an event of the answer is too long')
    if pending:
        raise AnswerSeveredError('the answer ended inside an event')
