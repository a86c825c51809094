"""Splitting of the body of a streamed answer into events."""

from collections.abc import AsyncIterator

from baobabhinge_gateway.errors import AnswerBrokenError, AnswerTruncatedError

EVENT_SEPARATOR = b'\n\n'
COMMENT_PREFIX = b':'
MAX_EVENT_BYTES = 1 << 20


async def split_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Yield the complete events of a body, without its comments.

    Raises
    ------
    AnswerBrokenError
        If the body ends within an event, or an event is over
        `MAX_EVENT_BYTES`.
    """
    pending = b''
    async for chunk in chunks:
        *complete, pending = (pending + chunk).split(EVENT_SEPARATOR)
        for event in complete:
            if not event.startswith(COMMENT_PREFIX):
                yield event + EVENT_SEPARATOR
        if len(pending) > MAX_EVENT_BYTES:
            raise AnswerBrokenError(
                'an event of the answer is over the size limit'
            )
    if pending:
        raise AnswerTruncatedError('the answer ended within an event')
