"""Answers of backend servers and other gateways."""

from collections.abc import AsyncIterator

from baobabhinge_gateway.calls.call import Headers
from baobabhinge_gateway.errors import AnswerBrokenError

MAX_ANSWER_BYTES = 16 << 20


class ExchangeAnswer:
    """Answer whose body is read chunk by chunk.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of pairs
        End-to-end headers.
    chunks : async iterator of bytes
        Chunks of the body, in order.
    request_id : str, optional
        Identifier of the request that the answer names; ``None`` for none.
    outcome : str, optional
        Outcome that a gateway reports in place of an answer; ``None`` for none.
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
        """Store status and headers; the body is not read yet."""
        self.status = status
        self.headers = headers
        self.chunks = chunks
        self.request_id = request_id
        self.outcome = outcome

    def check_request_id(self, request_id: str) -> None:
        """Check that the answer names ``request_id``.

        Raises
        ------
        AnswerBrokenError
            If it names another request or none.
        """
        if self.request_id != request_id:
            raise AnswerBrokenError('the answer names another request or none')

    async def read_complete(self) -> bytes:
        """Return the complete body.

        Raises
        ------
        AnswerBrokenError
            If the body is truncated or over `MAX_ANSWER_BYTES`.
        """
        chunks = []
        length = 0
        async for chunk in self.chunks:
            length += len(chunk)
            if length > MAX_ANSWER_BYTES:
                raise AnswerBrokenError('the answer is over the size limit')
            chunks.append(chunk)
        return b''.join(chunks)
