"""Raw HTTP responses for connections without a parsed request."""

import msgspec

from baobabhinge_gateway.calls.headers import OUTCOME, REQUEST_ID
from baobabhinge_gateway.errors import CallError
from baobabhinge_gateway.errors.problem import PROBLEM_TYPE, Problem


def serialize_error(error: CallError, problem: Problem) -> bytes:
    """Return a complete HTTP response that closes the connection.

    Parameters
    ----------
    error : CallError
        The refusal.
    problem : Problem
        Problem details of the refusal.
    """
    body = msgspec.json.encode(problem)
    status = error.status
    lines = (
        f'HTTP/1.1 {status.value} {status.phrase}',
        f'Content-Type: {PROBLEM_TYPE}',
        f'Content-Length: {len(body)}',
        f'Retry-After: {problem.retry_after_seconds}',
        f'{REQUEST_ID}: {problem.request_id}',
        f'{OUTCOME}: {error.outcome}',
        'Connection: close',
        '',
        '',
    )
    return '\r\n'.join(lines).encode() + body
