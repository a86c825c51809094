"""Passing the answer of a target on to the caller."""

from functools import partial
from http import HTTPStatus

import aiohttp
import msgspec

from baobabhinge_gateway.connections.deadlines import StreamBound
from baobabhinge_gateway.forwarding.call import Call, Headers
from baobabhinge_gateway.forwarding.exchange import discard_body
from baobabhinge_gateway.forwarding.failures import (
    DeclinedError,
    StreamBrokenError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.headers import keep_end_to_end
from baobabhinge_gateway.forwarding.protocols import (
    AnswerVerdict,
    BackendProtocol,
    Responder,
)
from baobabhinge_gateway.forwarding.relay import (
    BeginCallback,
    FirstEventCallback,
    StreamRelay,
)
from baobabhinge_platform.answers import read_bounded

# The HTTP library declares this type for answers that declare none.
UNDECLARED = 'application/octet-stream'
STREAM_TYPES = frozenset(('text/event-stream', UNDECLARED))


class FailedAnswer(msgspec.Struct, frozen=True):
    """Complete answer in which a backend server reports an error."""

    status: int
    headers: Headers
    body: bytes


class Delivery:
    """Pass answers on according to their verdict.

    Parameters
    ----------
    backends : BackendProtocol
        Protocol that delimits the events of a stream.
    on_begin : callable
        Called before the first event of a stream is passed on.
    bound : callable
        Returns a context that ends the stream of a call after its deadline.
    """

    __slots__ = ('_backends', '_bound', '_on_begin')

    def __init__(
        self,
        backends: BackendProtocol,
        on_begin: BeginCallback,
        bound: StreamBound,
    ) -> None:
        """Store the collaborators."""
        self._backends = backends
        self._bound = bound
        self._on_begin = on_begin

    async def deliver(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
        verdict: AnswerVerdict,
        responder: Responder,
        on_first_event: FirstEventCallback,
    ) -> FailedAnswer | None:
        """Pass an answer on, or return it if it is an error answer.

        Parameters
        ----------
        call : Call
            Call that is answered.
        response : aiohttp.ClientResponse
            Head of the answer; its body has not been read.
        verdict : AnswerVerdict
            What the head proves about the run of the call.
        responder : Responder
            Channel to the caller.
        on_first_event : callable
            Called for each chunk of a stream; only the first call counts.

        Returns
        -------
        FailedAnswer or None
            ``None`` if the answer was passed on.

        Raises
        ------
        DeclinedError
            If the target did not run the call.
        UnknownOutcomeError, TimeLimitError, StreamBrokenError
            If all or part of the answer is lost.
        """
        if verdict in {AnswerVerdict.declined, AnswerVerdict.misplaced}:
            await discard_body(response)
            raise DeclinedError(f'declined with {response.status}')
        if verdict in {AnswerVerdict.foreign, AnswerVerdict.unknown}:
            # The answer to this request may still come on the connection.
            response.close()
            raise UnknownOutcomeError(
                'the answer does not belong to this request'
            )
        if verdict is AnswerVerdict.answered and _is_part_of_stream(
            call, response, responder
        ):
            relay = StreamRelay(
                self._backends, responder, on_first_event, self._on_begin
            )
            async with self._bound(call):
                await relay.run(call, response)
            return None
        headers = keep_end_to_end(response.headers.items())
        body = await read_bounded(
            response, partial(call.memory.add_answer, response.url.authority)
        )
        if verdict is AnswerVerdict.failed:
            return FailedAnswer(response.status, headers, body)
        await responder.send_complete(response.status, headers, body)
        return None


def _is_part_of_stream(
    call: Call, response: aiohttp.ClientResponse, responder: Responder
) -> bool:
    """Return whether an answer is a stream, or goes on with one.

    Raises
    ------
    StreamBrokenError
        If a stream was begun and the answer can't go on with it.
    """
    kind = response.headers.get('Content-Type', UNDECLARED)
    is_events = kind.partition(';')[0].strip().lower() in STREAM_TYPES
    is_stream = is_events and response.status == HTTPStatus.OK
    if responder.has_started and not is_stream:
        response.close()
        raise StreamBrokenError(
            f'the stream was answered with {response.status} and {kind}'
        )
    return call.route.kind.is_streamed and is_stream
