"""Responses that report errors as problem details (RFC 9457)."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from random import Random

import msgspec
import structlog
from aiohttp import web

from baobabhinge_gateway.callers.keyed_refusals import convert_keyed_refusal
from baobabhinge_gateway.callers.serialization import serialize_error
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
RETRY_AFTER_SPREAD = 2

HandlerFunction = Callable[[web.Request], Awaitable[web.StreamResponse]]
log = structlog.get_logger(__name__)


class ProblemRenderer:
    """Render errors as HTTP responses.

    Parameters
    ----------
    random : Random
        Source of the jitter in ``Retry-After``.
    """

    __slots__ = ('_random',)

    def __init__(self, random: Random) -> None:
        """Store the random number generator."""
        self._random = random

    def render_connection_refusal(self, error: CallError) -> bytes:
        """Return the raw response that refuses a connection, and log it."""
        request_id = create_request_id()
        log.info('connection-refused', code=error.code, request_id=request_id)
        return serialize_error(error, self._describe(error, request_id))

    def render(self, error: CallError, request_id: str = '') -> web.Response:
        """Return the HTTP response for ``error``."""
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
    async def handle_errors(
        self,
        request: web.Request,
        handler: HandlerFunction,
    ) -> web.StreamResponse:
        """Report every error of a handler as problem details.

        Connection errors are raised again: no response can be sent.
        """
        try:
            return await handler(request)
        except ConnectionError:
            raise
        except Exception as error:
            return self._refuse(request, error)

    def _describe(self, error: CallError, request_id: str) -> Problem:
        """Return the problem details with a jittered ``Retry-After``.

        Callers refused together retry at different times, between one and
        ``1 + RETRY_AFTER_SPREAD`` times the delay of the error.
        """
        delay = error.retry_after * self._random.uniform(
            1, 1 + RETRY_AFTER_SPREAD
        )
        return build_problem(error, request_id, delay)

    def _refuse(self, request: web.Request, raised: Exception) -> web.Response:
        error = convert_keyed_refusal(request, _convert_exception(raised))
        request_id = request.get('request_id') or create_request_id()
        log.info('call-refused', code=error.code, request_id=request_id)
        response = self.render(error, request_id)
        if isinstance(raised, web.HTTPMethodNotAllowed):
            response.headers[ALLOW] = raised.headers[ALLOW]
        return response


def _convert_exception(raised: Exception) -> CallError:
    if isinstance(raised, CallError):
        return raised
    if isinstance(raised, web.HTTPException):
        return build_http_error(HTTPStatus(raised.status))
    log.error('internal-error', kind=type(raised).__name__)
    return InternalError('internal error of the gateway')
