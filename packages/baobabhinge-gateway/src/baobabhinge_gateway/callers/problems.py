"""Errors as problem details.

References
----------
RFC 9457, Problem Details for HTTP APIs.
"""

import math
from collections.abc import Awaitable, Callable

import msgspec
import structlog
from aiohttp import web

from baobabhinge_gateway.calls.headers import REQUEST_ID
from baobabhinge_gateway.errors import CallError

PROBLEM_TYPE = 'application/problem+json'
RETRY_AFTER = 'Retry-After'

Answerer = Callable[[web.Request], Awaitable[web.StreamResponse]]
log = structlog.get_logger(__name__)


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error answer."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: str
    request_id: str = ''


def describe_problem(error: CallError, request_id: str = '') -> Problem:
    """Return the problem details of ``error``."""
    return Problem(
        type=f'urn:baobabhinge:problem:{error.code}',
        title=error.code.replace('-', ' '),
        status=error.status,
        detail=error.detail,
        code=error.code,
        outcome=error.outcome,
        request_id=request_id,
    )


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
    seconds = math.ceil(error.retry_after.total_seconds())
    return web.Response(
        status=error.status,
        body=msgspec.json.encode(describe_problem(error, request_id)),
        content_type=PROBLEM_TYPE,
        headers={RETRY_AFTER: str(seconds), REQUEST_ID: request_id},
    )
