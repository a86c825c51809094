"""Handing the answer of a backend server to the caller."""

import aiohttp
import msgspec

from baobabhinge_gateway.forwarding.call import Call, Headers
from baobabhinge_gateway.forwarding.exchange import read_complete
from baobabhinge_gateway.forwarding.failures import (
    DeclinedError,
    UnknownOutcomeError,
)
from baobabhinge_gateway.forwarding.headers import keep_end_to_end
from baobabhinge_gateway.forwarding.protocols import (
    AnswerVerdict,
    BackendProtocol,
    Responder,
)
from baobabhinge_gateway.forwarding.relay import FirstEventCallback, StreamRelay


class FailedAnswer(msgspec.Struct, frozen=True):
    """A whole answer by which a backend server failed the call."""

    status: int
    headers: Headers
    body: bytes


class Delivery:
    """Pass answers on by what they prove.

    Parameters
    ----------
    backends : BackendProtocol
        Knows where the events of a stream end.
    """

    __slots__ = ('_backends',)

    def __init__(self, backends: BackendProtocol) -> None:
        """Keep the protocol."""
        self._backends = backends

    async def deliver(
        self,
        call: Call,
        response: aiohttp.ClientResponse,
        verdict: AnswerVerdict,
        responder: Responder,
        note_first_event: FirstEventCallback,
    ) -> FailedAnswer | None:
        """Pass the answer on, or return it if it is a failure.

        Raises
        ------
        DeclinedError
            If the call was not run.
        UnknownOutcomeError, TimeLimitError, StreamBrokenError
            If the answer is lost, whole or in part.
        """
        if verdict in {AnswerVerdict.declined, AnswerVerdict.misplaced}:
            await read_complete(response)
            raise DeclinedError(f'declined with {response.status}')
        if verdict in {AnswerVerdict.foreign, AnswerVerdict.unknown}:
            raise UnknownOutcomeError('no answer to this request')
        if call.route.kind.is_streamed and verdict is AnswerVerdict.answered:
            relay = StreamRelay(self._backends, responder, note_first_event)
            await relay.run(call, response)
            return None
        headers = keep_end_to_end(response.headers.items())
        body = await read_complete(response)
        if verdict is AnswerVerdict.failed:
            return FailedAnswer(response.status, headers, body)
        await responder.send_complete(response.status, headers, body)
        return None
