"""Paths of requests, and of their calls at plain services."""

import re
from urllib.parse import unquote

from baobabhinge_gateway.calls.headers import FORWARD_PREFIX
from baobabhinge_gateway.errors import MalformedCallError

SERVICE_PREFIX_PARTS = 3
DOT_SEGMENTS = frozenset(('.', '..'))
SLASHES = re.compile('/+')
QUERY_SEPARATOR = '?'


def extract_service_path(raw_path: str) -> str:
    """Return the path at the service with its query, unchanged.

    Parameters
    ----------
    raw_path : str
        Path and query of the request, still percent-encoded.

    Raises
    ------
    MalformedCallError
        If the path has dot segments: the service might resolve them to a
        path other than the one that rules are applied to.
    """
    tail = strip_forward_prefix(raw_path).split('/', SERVICE_PREFIX_PARTS)[-1]
    service_path = f'/{tail}'
    if DOT_SEGMENTS & set(decode_path(service_path).split('/')):
        raise MalformedCallError(
            'the path has dot segments, which are not allowed'
        )
    return service_path


def strip_forward_prefix(path: str) -> str:
    """Return the path as the caller sent it to the first gateway."""
    return path.removeprefix(FORWARD_PREFIX)


def decode_path(path: str) -> str:
    """Return the path without its query, decoded, with single slashes.

    Rules about paths are applied to this form, so that a different spelling
    of a path does not bypass them.
    """
    decoded = unquote(path.partition(QUERY_SEPARATOR)[0])
    return SLASHES.sub('/', decoded)
