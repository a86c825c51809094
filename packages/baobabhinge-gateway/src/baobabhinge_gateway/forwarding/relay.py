"""Passing the events of a stream on as they arrive."""

from collections.abc import Callable

import aiohttp

from baobabhinge_gateway.forwarding.call import Call
from baobabhinge_gateway.forwarding.failures import (
    StreamBrokenError,
)
from baobabhinge_gateway.forwarding.headers import keep_end_to_end
from baobabhinge_gateway.forwarding.protocols import (
    BackendProtocol,
    Responder,
)

FirstEventCallback = Callable[[], None]


def ignore_first_event() -> None:
    """Take no note of the first event."""


class StreamRelay:
    """One stream on its way to the caller.

    Parameters
    ----------
    backends : BackendProtocol
        Knows where events end.
    responder : Responder
        Way to the caller.
    note_first_event : callable
        Told when the first piece has come.
    """

    __slots__ = ('_backends', '_note_first_event', '_pending', '_responder')

    def __init__(
        self,
        backends: BackendProtocol,
        responder: Responder,
        note_first_event: FirstEventCallback,
    ) -> None:
        """Pass nothing on yet."""
        self._backends = backends
        self._responder = responder
        self._note_first_event = note_first_event
        self._pending = b''

    async def run(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Pass the whole stream on.

        Raises
        ------
        StreamBrokenError
            If it broke after an event was passed on.
        UnknownOutcomeError, TimeLimitError
            If it broke before.
        """
        try:
            await self._pass_on(call, response)
        except (aiohttp.ClientError, TimeoutError) as broken:
            if not self._responder.has_started:
                raise
            raise StreamBrokenError(repr(broken)) from broken
        if self._pending:
            raise StreamBrokenError('the stream ended within an event')
        if not self._responder.has_started:
            await self._start(response)
        await self._responder.finish()

    async def _pass_on(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
    ) -> None:
        async for piece in response.content.iter_any():
            self._note_first_event()
            self._pending += piece
            whole = self._backends.measure_events(self._pending)
            if whole:
                await self._start(response)
                await self._write(call, self._pending[:whole])
                self._pending = self._pending[whole:]

    async def _write(self, call: Call, events: bytes) -> None:
        await self._responder.write(events)
        last = self._backends.read_last_event(events)
        if last is not None:
            call.last_event = last

    async def _start(self, response: aiohttp.ClientResponse) -> None:
        if not self._responder.has_started:
            headers = keep_end_to_end(response.headers.items())
            await self._responder.start(response.status, headers)
