"""An answer on its way back to the caller."""

from collections.abc import AsyncIterator

from baobabhinge_gateway.calls.model import Headers


class Answer:
    """Status and headers, then the body piece by piece.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of pairs
        End-to-end headers.
    pieces : async iterator of bytes
        Pieces of the body, in order.
    request_id : str, optional
        Request that the answer says it is for.
    """

    __slots__ = ('headers', 'pieces', 'request_id', 'status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        pieces: AsyncIterator[bytes],
        request_id: str | None = None,
    ) -> None:
        """Keep the parts."""
        self.status = status
        self.headers = headers
        self.pieces = pieces
        self.request_id = request_id

    async def read_whole(self) -> bytes:
        """Return the whole body."""
        return b''.join([piece async for piece in self.pieces])
