"""Answers written to the connection of a request."""

from aiohttp import web

from baobabhinge_gateway.forwarding.call import Headers


class HttpResponder:
    """Way back to whoever sent a request.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    is_last : bool
        Whether the connection is to be closed after the answer.

    Attributes
    ----------
    response : web.StreamResponse or None
        The answer, once its head was sent.
    """

    __slots__ = ('_is_last', '_request', 'response')

    def __init__(self, request: web.BaseRequest, *, is_last: bool) -> None:
        """Send nothing yet."""
        self._request = request
        self._is_last = is_last
        self.response: web.StreamResponse | None = None

    @property
    def has_started(self) -> bool:
        """Whether the head of an answer was sent."""
        return self.response is not None

    async def send_whole(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        response = web.Response(status=status, body=body)
        await self._send_head(response, headers)
        await response.write_eof()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a stream."""
        response = web.StreamResponse(status=status)
        await self._send_head(response, headers)

    async def write(self, piece: bytes) -> None:
        """Send a piece of a stream."""
        if self.response is not None:
            await self.response.write(piece)

    async def finish(self) -> None:
        """End a stream as complete."""
        if self.response is not None:
            await self.response.write_eof()

    def abort(self) -> None:
        """Break the connection, so that the answer can't look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send_head(
        self,
        response: web.StreamResponse,
        headers: Headers,
    ) -> None:
        for name, text in headers:
            response.headers.add(name, text)
        if self._is_last:
            response.force_close()
        self.response = response
        await response.prepare(self._request)


