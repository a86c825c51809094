"""Handing the answers of backend servers to callers."""

from http import HTTPStatus
from typing import Protocol

import msgspec
from aiohttp import web

from baobabhinge_gateway.backends import Answer
from baobabhinge_gateway.backends.events import check_events
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
    """One caller's answer, fed by one attempt after another."""

    def prepare_call(self, call: Call) -> Call:
        """Return the call that asks for what is missing."""

    async def deliver(self, answer: Answer) -> web.StreamResponse:
        """Hand ``answer`` to the caller whole, or raise a `CallError`."""

    async def report_failure(self, failure: CallError) -> None:
        """Tell the caller of ``failure``, by raising or by an event."""


class BufferedRelay:
    """An answer that is read whole before its status line is written.

    Parameters
    ----------
    call : Call
        The call.
    """

    __slots__ = ('_call',)

    def __init__(self, call: Call) -> None:
        """Keep the call."""
        self._call = call

    def prepare_call(self, call: Call) -> Call:
        """Return the whole call; nothing has been handed out."""
        return call

    async def deliver(self, answer: Answer) -> web.StreamResponse:
        """Return the checked answer."""
        return await build_response(self._call, answer)

    async def report_failure(self, failure: CallError) -> None:
        """Raise ``failure``; the status line is still unwritten."""
        raise failure


class EventStreamRelay:
    """A stream of events that goes on where an earlier engine left off.

    Parameters
    ----------
    request : web.Request
        Request of the caller.
    call : Call
        The call.
    """

    __slots__ = ('_call', '_caller', '_tokens')

    def __init__(self, request: web.Request, call: Call) -> None:
        """Start with no token handed out."""
        self._call = call
        self._caller = CallerStream(request, call.request_id)
        self._tokens = 0

    def prepare_call(self, call: Call) -> Call:
        """Return the call from the first token that is missing."""
        return resume_call(call, self._tokens)

    async def deliver(self, answer: Answer) -> web.StreamResponse:
        """Pass the events on as they come."""
        if answer.status != HTTPStatus.OK and not self._tokens:
            return await build_response(self._call, answer)
        request_id = self._call.request_id
        answer.check_request_id(request_id)
        async for event in check_events(answer.pieces, request_id):
            response = await self._caller.start(answer)
            await self._caller.write(response, event.frame)
            self._tokens += event.has_text
        await self._caller.end(response)
        return response

    async def report_failure(self, failure: CallError) -> None:
        """Raise ``failure``, or end the answer visibly if it has begun.

        Raises
        ------
        AnswerCutError
            If the answer had begun.
        """
        if self._caller.response is None:
            raise failure
        await self._caller.end_with_error(self._caller.response, failure)
        raise AnswerCutError(failure.code) from failure


class _Identified(msgspec.Struct):
    id: str


async def build_response(call: Call, answer: Answer) -> web.Response:
    """Return an answer that has arrived whole.

    Raises
    ------
    AnswerBrokenError
        If it names another request, or did not arrive whole.
    """
    answer.check_request_id(call.request_id)
    body = await answer.read_whole()
    if call.service.kind is ServiceKind.model:
        _check_completion(call, answer, body)
    response = web.Response(status=answer.status, body=body)
    copy_headers(answer, response)
    response.headers[REQUEST_ID] = call.request_id
    return response


def _check_completion(call: Call, answer: Answer, body: bytes) -> None:
    if answer.status != HTTPStatus.OK:
        return
    try:
        completion = msgspec.json.decode(body, type=_Identified)
    except msgspec.MsgspecError as bad:
        raise AnswerBrokenError('the answer is malformed') from bad
    if completion.id != call.request_id:
        raise AnswerBrokenError('the answer is for another request')
