"""Stopping the HTTP library from sending a request a second time."""

import aiohttp


class ResentError(aiohttp.ClientError):
    """The library was about to send a request again."""


class RefuseResending:
    """Middleware for one exchange that may be sent once.

    The library sends a PUT or DELETE again when the connection closes before
    the answer, though the first one may have run.
    """

    __slots__ = ('_is_sent',)

    def __init__(self) -> None:
        """Nothing is sent yet."""
        self._is_sent = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        send: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Send ``request`` unless that has been done.

        Raises
        ------
        ResentError
            If this is not the first time.
        """
        if self._is_sent:
            raise ResentError('a request that may run once is sent once')
        self._is_sent = True
        return await send(request)
