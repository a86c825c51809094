"""Errors as problem details.

References
----------
RFC 9457, Problem Details for HTTP APIs.
"""

from collections.abc import Awaitable, Callable

import msgspec
import structlog
from aiohttp import web

from baobabhinge_gateway.calls.headers import OUTCOME, REQUEST_ID
from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.errors.problem import PROBLEM_TYPE, describe_problem

RETRY_AFTER = 'Retry-After'

Answerer = Callable[[web.Request], Awaitable[web.StreamResponse]]
log = structlog.get_logger(__name__)


@web.middleware
async def answer_problems(
    request: web.Request,
    handler: Answerer,
) -> web.StreamResponse:
    """Turn call errors into problem details."""
    try:
        return await handler(request)
    except CallError as error:
        request_id = request.get('request_id', '')
        log.info('call-refused', code=error.code, request_id=request_id)
        return render_problem(error, request_id)


def render_problem(error: CallError, request_id: str) -> web.Response:
    """Return the HTTP answer for ``error``."""
    problem = describe_problem(error, request_id)
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
