"""Relay of a streamed answer, event by event."""

from collections.abc import Callable, Sequence

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
from baobabhinge_platform.answers import AnswerTooLongError

MAX_EVENT_BYTES = 1 << 20

FirstEventCallback = Callable[[], None]
BeginCallback = Callable[[Call], None]


def ignore_first_event() -> None:
    """Do nothing when a stream begins."""


class StreamRelay:
    """Relay of one stream to the caller.

    Only complete events are passed on.

    Parameters
    ----------
    backends : BackendProtocol
        Protocol that delimits events.
    responder : Responder
        Channel to the caller.
    on_first_event : callable
        Called for each chunk that arrives; only the first call counts.
    on_begin : callable
        Called before the first event is passed on to the caller.
    """

    __slots__ = (
        '_backends',
        '_goes_on',
        '_held',
        '_on_begin',
        '_on_first_event',
        '_pending',
        '_responder',
    )

    def __init__(
        self,
        backends: BackendProtocol,
        responder: Responder,
        on_first_event: FirstEventCallback,
        on_begin: BeginCallback,
    ) -> None:
        """Prepare the relay with nothing pending."""
        self._on_begin = on_begin
        self._backends = backends
        self._responder = responder
        self._on_first_event = on_first_event
        self._pending = b''
        self._held = 0
        # Whether the first event follows on the last one of an earlier run.
        self._goes_on = True

    async def run(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Relay the stream until it ends.

        Raises
        ------
        StreamBrokenError
            If it broke off after an event was passed on.
        UnknownOutcomeError, TimeLimitError
            If it broke off before.
        """
        self._goes_on = not self._responder.has_started
        try:
            await self._relay_events(call, response)
        except (aiohttp.ClientError, TimeoutError) as broken:
            if not self._responder.has_started:
                raise
            raise StreamBrokenError(repr(broken)) from broken
        if self._pending:
            raise StreamBrokenError('the stream ended within an event')
        await self._start(call, response)
        await self._responder.finish()

    async def _relay_events(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
    ) -> None:
        sender = response.url.authority
        # Cheaper for each chunk than the iterator over them.
        while chunk := await response.content.readany():
            self._on_first_event()
            self._pending += chunk
            length = self._backends.measure_events(self._pending)
            if len(self._pending) - length > MAX_EVENT_BYTES:
                raise AnswerTooLongError('an event is over the size limit')
            if length:
                await self._pass_on(call, response, length)
            if self._pending or self._held:
                self._account(call, sender)

    def _account(self, call: Call, sender: str) -> None:
        """Count the bytes of an event that is not complete."""
        length = len(self._pending)
        if length < self._held:
            call.memory.release(sender)
            self._held = 0
        if length > self._held:
            call.memory.add_answer(sender, length - self._held)
            self._held = length

    async def _pass_on(
        self, call: Call, response: aiohttp.ClientResponse, length: int
    ) -> None:
        events = self._pending[:length]
        names = self._backends.read_event_ids(events)
        if names and not self._goes_on:
            _check_order(call.last_event, names[0])
            self._goes_on = True
        if not self._responder.has_started:
            await self._start(call, response)
        await self._responder.write(events)
        _record_names(call, names)
        self._pending = self._pending[length:]

    async def _start(
        self, call: Call, response: aiohttp.ClientResponse
    ) -> None:
        if not self._responder.has_started:
            self._on_begin(call)
            headers = keep_end_to_end(response.headers.items())
            await self._responder.start(response.status, headers)


def _record_names(call: Call, names: Sequence[str | None]) -> None:
    """Record the ids of events that were passed on."""
    call.last_event = next(filter(None, reversed(names)), call.last_event)
    if None in names:
        call.has_unnamed_events = True


def _check_order(last: str | None, following: str | None) -> None:
    """Raise an error unless an event may follow on the last one."""
    if last is None or following is None:
        raise StreamBrokenError('an event without an id can not go on')
    is_older = last == following
    if last.isdecimal() and following.isdecimal():
        is_older = int(following) <= int(last)
    if is_older:
        raise StreamBrokenError(
            f'event {following} was sent again after event {last}'
        )
