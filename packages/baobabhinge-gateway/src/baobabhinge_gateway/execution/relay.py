"""Delivery of the answers of backend servers to callers."""

from http import HTTPStatus
from typing import Protocol

import msgspec
from aiohttp import web

from baobabhinge_gateway.backends import ExchangeAnswer
from baobabhinge_gateway.backends.stream_events import check_events
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.calls.headers import REQUEST_ID
from baobabhinge_gateway.errors import (
    AnswerBrokenError,
    AnswerCutError,
    CallError,
)
from baobabhinge_gateway.execution.caller_stream import (
    CallerStream,
    copy_headers,
)
from baobabhinge_gateway.execution.resumption import resume_call
from baobabhinge_settings.model import ServiceKind


class Relay(Protocol):
    """Interface of the delivery of one call's answer across attempts."""

    def prepare_call(self, call: Call) -> Call:
        """Return ``call`` reduced to the part not yet delivered."""

    async def deliver(self, answer: ExchangeAnswer) -> web.StreamResponse:
        """Deliver ``answer`` completely, or raise a `CallError`."""

    async def report_failure(self, failure: CallError) -> None:
        """Report ``failure`` by raising it or by an error event."""


class BufferedRelay:
    """Relay that reads an answer completely before it writes a response.

    Parameters
    ----------
    call : Call
        Call of the caller.
    """

    __slots__ = ('_call',)

    def __init__(self, call: Call) -> None:
        """Store the call."""
        self._call = call

    def prepare_call(self, call: Call) -> Call:
        """Return ``call`` unchanged, as nothing has been delivered."""
        return call

    async def deliver(self, answer: ExchangeAnswer) -> web.StreamResponse:
        """Return the response built from the checked ``answer``."""
        return await build_response(self._call, answer)

    async def report_failure(self, failure: CallError) -> None:
        """Raise ``failure``, as the response has not started."""
        raise failure


class EventStreamRelay:
    """Relay of an event stream that a later attempt can continue.

    Parameters
    ----------
    request : web.Request
        Request of the caller.
    call : Call
        Call of the caller.
    """

    __slots__ = ('_call', '_caller', '_delivered_tokens')

    def __init__(self, request: web.Request, call: Call) -> None:
        """Start with no token delivered."""
        self._call = call
        self._caller = CallerStream(request, call.request_id)
        self._delivered_tokens = 0

    def prepare_call(self, call: Call) -> Call:
        """Return ``call`` resumed at the first token not yet delivered."""
        return resume_call(call, self._delivered_tokens)

    async def deliver(self, answer: ExchangeAnswer) -> web.StreamResponse:
        """Write each event to the caller as it arrives."""
        if answer.status != HTTPStatus.OK and not self._delivered_tokens:
            return await build_response(self._call, answer)
        request_id = self._call.request_id
        answer.check_request_id(request_id)
        async for event in check_events(answer.chunks, request_id):
            response = await self._caller.start(answer)
            await self._caller.write(response, event.frame)
            self._delivered_tokens += event.has_text
        await self._caller.end(response)
        return response

    async def report_failure(self, failure: CallError) -> None:
        """Raise ``failure``, or end a started response with an error event.

        Raises
        ------
        AnswerCutError
            If the response had started.
        """
        if self._caller.response is None:
            raise failure
        await self._caller.end_with_error(self._caller.response, failure)
        raise AnswerCutError(failure.code) from failure


class _CompletionId(msgspec.Struct):
    id: str


async def build_response(call: Call, answer: ExchangeAnswer) -> web.Response:
    """Read ``answer`` completely and return the response to the caller.

    Raises
    ------
    AnswerBrokenError
        If it names another request, is incomplete or is malformed.
    """
    answer.check_request_id(call.request_id)
    body = await answer.read_complete()
    if call.service.kind is ServiceKind.model:
        _check_completion(call, answer, body)
    response = web.Response(status=answer.status, body=body)
    copy_headers(answer, response)
    response.headers[REQUEST_ID] = call.request_id
    return response


def _check_completion(call: Call, answer: ExchangeAnswer, body: bytes) -> None:
    if answer.status != HTTPStatus.OK:
        return
    try:
        completion = msgspec.json.decode(body, type=_CompletionId)
    except msgspec.MsgspecError as error:
        raise AnswerBrokenError(
            'completion is not a JSON object with a string id',
        ) from error
    if completion.id != call.request_id:
        raise AnswerBrokenError(
            'completion has the id of another request',
        )
