"""Ways in which the stand-in of the store fails."""

import asyncio
import enum
from http import HTTPStatus
from typing import Any, Protocol

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from baobabhinge_standins.host.unframed import send_unframed

SILENCE_SECONDS = 30


class StoreFault(enum.Enum):
    """How the store fails."""

    none = 'none'
    busy = 'busy'
    throttled = 'throttled'
    silent = 'silent'
    reset = 'reset'
    unframed = 'answers end with their connections'
    cut = 'answers end with their connections, before their ends'
    answers_lost = 'answers lost'
    answers_one_late = 'each connection brings the answer before'


UNFRAMED = frozenset((StoreFault.unframed, StoreFault.cut))


class Faulty(Protocol):
    """A store that fails on demand."""

    fault: StoreFault
    calls: list[str]


STATUSES = {
    StoreFault.busy: HTTPStatus.SERVICE_UNAVAILABLE,
    StoreFault.throttled: HTTPStatus.TOO_MANY_REQUESTS,
}


def build_faults(store: Faulty) -> Middleware:
    """Return what makes the calls of ``store`` fail as it says."""

    delayed = _DelayedAnswers()

    @web.middleware
    async def fail(
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        store.calls.append(request.path)
        fault = store.fault
        if fault is StoreFault.answers_one_late:
            return await delayed.answer(request, handler)
        status = STATUSES.get(fault)
        if status is not None:
            return web.Response(status=status)
        if fault is StoreFault.silent:
            await asyncio.sleep(SILENCE_SECONDS)
        response = await handler(request)
        if fault in UNFRAMED:
            await _send_unframed(request, fault, response)
        if fault is not StoreFault.none and request.transport is not None:
            request.transport.abort()
        return response

    return fail


class _DelayedAnswers:
    """Answers that come with the next request on the same connection.

    A second copy of the first answer makes all others of a connection late.
    """

    def __init__(self) -> None:
        """Delay nothing."""
        self._bodies: dict[object, Any] = {}

    async def answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Answer with what the request before was to get, if there is one."""
        answer = await handler(request)
        body = answer.body if isinstance(answer, web.Response) else b''
        before = self._bodies.get(request.protocol, body)
        self._bodies[request.protocol] = body
        return web.Response(body=before)


async def _send_unframed(
    request: web.Request, fault: StoreFault, response: web.StreamResponse
) -> None:
    body = response.body if isinstance(response, web.Response) else b''
    sent = body if isinstance(body, bytes) else b''
    end = -1 if fault is StoreFault.cut else None
    await send_unframed(request, {}, sent[:end])
