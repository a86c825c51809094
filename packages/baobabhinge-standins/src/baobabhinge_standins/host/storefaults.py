"""Ways in which the stand-in of the store fails."""

import asyncio
import enum
from http import HTTPStatus
from typing import Protocol

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

    @web.middleware
    async def fail(
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        store.calls.append(request.path)
        fault = store.fault
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


async def _send_unframed(
    request: web.Request, fault: StoreFault, response: web.StreamResponse
) -> None:
    body = response.body if isinstance(response, web.Response) else b''
    sent = body if isinstance(body, bytes) else b''
    end = -1 if fault is StoreFault.cut else None
    await send_unframed(request, {}, sent[:end])
