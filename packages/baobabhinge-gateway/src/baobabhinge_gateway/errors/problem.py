"""Errors as problem details in JSON.

References
----------
RFC 9457, Problem Details for HTTP APIs.
"""

import math
from datetime import timedelta

import msgspec

from baobabhinge_gateway.errors.base import CallError, EntryHint, Outcome

PROBLEM_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:baobabhinge:problem:'


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error answer.

    Parameters
    ----------
    type, title, status, detail : str or int
        Members defined by RFC 9457.
    code : str
        Stable code of the error.
    outcome : Outcome
        Whether the call may have been run.
    retry_after_seconds : int
        Time after which the caller may retry, in seconds.
    request_id : str
        Identifier of the call.
    entries : tuple of EntryHint
        Gateways that can serve the call instead of this one.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: Outcome
    retry_after_seconds: int = 0
    request_id: str = ''
    entries: tuple[EntryHint, ...] = ()


def build_problem(
    error: CallError,
    request_id: str = '',
    retry_after: timedelta | None = None,
) -> Problem:
    """Return the problem details of ``error``.

    Parameters
    ----------
    error : CallError
        Error to describe.
    request_id : str, optional
        Identifier of the call.
    retry_after : timedelta, optional
        Time after which the caller may retry; by default that of the error.
    """
    delay = error.retry_after if retry_after is None else retry_after
    return Problem(
        type=f'{TYPE_PREFIX}{error.code}',
        title=error.code.replace('-', ' '),
        status=error.status,
        detail=error.detail,
        code=error.code,
        outcome=error.outcome,
        retry_after_seconds=math.ceil(delay.total_seconds()),
        request_id=request_id,
        entries=error.entries,
    )
