"""Headers of the gateway, and hop-by-hop headers."""

import uuid
from collections.abc import Iterable

DEADLINE = 'Baobabhinge-Deadline-Ms'
REGION_BOUND = 'Baobabhinge-Region-Bound'
SERVICE = 'Baobabhinge-Service'
WORKSPACE = 'Baobabhinge-Workspace'
PATH = 'Baobabhinge-Path'
RUN_ONCE_KEY = 'Baobabhinge-Key'
IDEMPOTENCY_KEY = 'Idempotency-Key'
REQUEST_ID = 'X-Request-Id'
FORWARD_PREFIX = '/forward'
OUTCOME = 'Baobabhinge-Outcome'
GENERATION = 'Baobabhinge-Generation'

HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
OWN_PREFIX = 'baobabhinge-'


def create_request_id() -> str:
    """Return a new identifier for the header `REQUEST_ID`."""
    return uuid.uuid4().hex


def keep_end_to_end(
    pairs: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers without hop-by-hop headers and the gateway's own.

    The headers that ``Connection`` names are hop-by-hop too.
    """
    listed = tuple(pairs)
    dropped = (
        HOP_BY_HOP | _list_connection_headers(listed) | {REQUEST_ID.lower()}
    )
    return tuple(
        (str(name), text)
        for name, text in listed
        if name.lower() not in dropped
        and not name.lower().startswith(OWN_PREFIX)
    )


def _list_connection_headers(pairs: Iterable[tuple[str, str]]) -> set[str]:
    return {
        token.strip().lower()
        for name, text in pairs
        if name.lower() == 'connection'
        for token in text.split(',')
    }
