"""Refusals of calls whose run-once key has not been looked up."""

from aiohttp import web

from baobabhinge_gateway.calls import headers
from baobabhinge_gateway.errors import CallError, KeyedRefusalError
from baobabhinge_gateway.execution import OUTCOME_KNOWN

PLAIN_PATH_PART = '/services/'


def convert_keyed_refusal(
    request: web.Request, refusal: CallError
) -> CallError:
    """Return ``refusal``, with outcome unknown if a key was not looked up.

    A gateway that refuses an attempt before it has looked up its key does not
    know whether an earlier attempt with this key has run.
    """
    if request.get(OUTCOME_KNOWN) or not _has_key(request):
        return refusal
    return KeyedRefusalError(refusal)


def _has_key(request: web.Request) -> bool:
    if headers.RUN_ONCE_KEY in request.headers:
        return True
    is_plain = PLAIN_PATH_PART in request.path
    return is_plain and headers.IDEMPOTENCY_KEY in request.headers
