"""Answering errors as problem details."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from random import Random

import msgspec
import structlog
from aiohttp import web

from baobabhinge_gateway.callers.keyed import weaken_refusal
from baobabhinge_gateway.callers.serializing import serialize_error
from baobabhinge_gateway.calls.headers import (
    OUTCOME,
    REQUEST_ID,
    create_request_id,
)
from baobabhinge_gateway.errors import CallError, InternalError
from baobabhinge_gateway.errors.http import build_http_error
from baobabhinge_gateway.errors.problem import (
    PROBLEM_TYPE,
    Problem,
    build_problem,
)

RETRY_AFTER = 'Retry-After'
ALLOW = 'Allow'
SPREAD = 2

Answerer = Callable[[web.Request], Awaitable[web.StreamResponse]]
log = structlog.get_logger(__name__)


class ProblemRenderer:
    """Turn errors into HTTP answers.

    Parameters
    ----------
    random : Random
        Generator that spreads the times at which callers come back.
    """

    __slots__ = ('_random',)

    def __init__(self, random: Random) -> None:
        """Keep the generator."""
        self._random = random

    def refuse_connection(self, error: CallError) -> bytes:
        """Return the whole HTTP answer to what never became a request."""
        request_id = create_request_id()
        log.info('connection-refused', code=error.code, request_id=request_id)
        return serialize_error(error, self._describe(error, request_id))

    def render(self, error: CallError, request_id: str = '') -> web.Response:
        """Return the HTTP answer for ``error``."""
        problem = self._describe(error, request_id)
        return web.Response(
            status=error.status,
            body=msgspec.json.encode(problem),
            content_type=PROBLEM_TYPE,
            headers={
                RETRY_AFTER: str(problem.retry_after_seconds),
                REQUEST_ID: request_id,
                OUTCOME: error.outcome,
            },
        )

    @web.middleware
    async def answer_problems(
        self,
        request: web.Request,
        handler: Answerer,
    ) -> web.StreamResponse:
        """Turn every error of a handler into problem details."""
        try:
            return await handler(request)
        except ConnectionError:
            raise
        except Exception as fault:
            return self._refuse(request, fault)

    def _describe(self, error: CallError, request_id: str) -> Problem:
        """Return the problem details, with a time of its own to come back."""
        pause = error.retry_after * self._random.uniform(1, 1 + SPREAD)
        return build_problem(error, request_id, pause)

    def _refuse(self, request: web.Request, fault: Exception) -> web.Response:
        error = weaken_refusal(request, _name_fault(fault))
        request_id = request.get('request_id') or create_request_id()
        log.info('call-refused', code=error.code, request_id=request_id)
        response = self.render(error, request_id)
        if isinstance(fault, web.HTTPMethodNotAllowed):
            response.headers[ALLOW] = fault.headers[ALLOW]
        return response


def _name_fault(fault: Exception) -> CallError:
    if isinstance(fault, CallError):
        return fault
    if isinstance(fault, web.HTTPException):
        return build_http_error(HTTPStatus(fault.status))
    log.error('internal-error', kind=type(fault).__name__)
    return InternalError('an internal fault')
