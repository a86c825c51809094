"""An answer on its way back to the caller."""

from collections.abc import AsyncIterator

from baobabhinge_gateway.calls.call import Headers
from baobabhinge_gateway.errors import AnswerBrokenError

MAX_ANSWER_BYTES = 16 << 20


class ExchangeAnswer:
    """Status and headers, then the body piece by piece.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of pairs
        End-to-end headers.
    chunks : async iterator of bytes
        Pieces of the body, in order.
    request_id : str, optional
        Request that the answer says it is for.
    outcome : str, optional
        Set when a gateway answers that it has no answer.
    """

    __slots__ = ('chunks', 'headers', 'outcome', 'request_id', 'status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        chunks: AsyncIterator[bytes],
        request_id: str | None = None,
        outcome: str | None = None,
    ) -> None:
        """Keep the parts."""
        self.status = status
        self.headers = headers
        self.chunks = chunks
        self.request_id = request_id
        self.outcome = outcome

    def check_request_id(self, request_id: str) -> None:
        """Refuse an answer that does not name ``request_id``.

        Raises
        ------
        AnswerBrokenError
            If it names another request or none.
        """
        if self.request_id != request_id:
            raise AnswerBrokenError('the answer is for another request')

    async def read_complete(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AnswerBrokenError
            If the body is shorter than announced or over the limit.
        """
        chunks = []
        length = 0
        async for chunk in self.chunks:
            length += len(chunk)
            if length > MAX_ANSWER_BYTES:
                raise AnswerBrokenError('the answer is too long')
            chunks.append(chunk)
        return b''.join(chunks)
