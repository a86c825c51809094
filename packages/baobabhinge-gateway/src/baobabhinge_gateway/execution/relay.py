"""Writing answers to callers."""

from aiohttp import web

from baobabhinge_gateway.backends import Answer
from baobabhinge_gateway.backends.events import check_events
from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.calls.headers import REQUEST_ID
from baobabhinge_gateway.errors import AnswerBrokenError


async def write_whole(call: Call, answer: Answer) -> web.Response:
    """Return an answer that has arrived whole.

    Raises
    ------
    AnswerBrokenError
        If it names another request.
    """
    if answer.request_id not in {None, call.request_id}:
        raise AnswerBrokenError('the answer is for another request')
    body = await answer.read_whole()
    response = web.Response(status=answer.status, body=body)
    _copy_headers(answer, response)
    response.headers[REQUEST_ID] = call.request_id
    return response


async def write_stream(
    request: web.Request,
    call: Call,
    answer: Answer,
) -> web.StreamResponse:
    """Pass the events on as they come.

    An answer that breaks is cut visibly: the connection is closed before the
    end of the body.
    """
    response = web.StreamResponse(status=answer.status)
    _copy_headers(answer, response)
    response.headers[REQUEST_ID] = call.request_id
    await response.prepare(request)
    try:
        async for event in check_events(answer.pieces, call.request_id):
            await response.write(event)
    except AnswerBrokenError:
        _abort(request)
        raise
    await response.write_eof()
    return response


def _copy_headers(answer: Answer, response: web.StreamResponse) -> None:
    for name, text in answer.headers:
        response.headers[name] = text


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
