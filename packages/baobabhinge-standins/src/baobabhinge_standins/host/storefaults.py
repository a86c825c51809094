"""Ways in which the stand-in of the store fails."""

import asyncio
import enum
from http import HTTPStatus
from typing import Protocol

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

SILENCE_SECONDS = 30


class StoreFault(enum.Enum):
    """How the store fails."""

    none = 'none'
    busy = 'busy'
    throttled = 'throttled'
    silent = 'silent'
    reset = 'reset'
    answers_lost = 'answers lost'


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
        if fault is not StoreFault.none and request.transport is not None:
            request.transport.abort()
        return response

    return fail
