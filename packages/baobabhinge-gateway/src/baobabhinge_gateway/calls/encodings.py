"""Encodings that a request accepts for its answer."""

from collections.abc import Iterable

from baobabhinge_gateway.calls.call import Headers
from baobabhinge_gateway.calls.headers import keep_end_to_end

ACCEPT_ENCODING = 'Accept-Encoding'
IDENTITY = (ACCEPT_ENCODING, 'identity')


def request_identity_encoding(pairs: Iterable[tuple[str, str]]) -> Headers:
    """Return end-to-end headers that accept no encoding but identity.

    The gateway could not check an encoded answer.
    """
    return (*_drop_encoding(keep_end_to_end(pairs)), IDENTITY)


def keep_requested_encoding(pairs: Iterable[tuple[str, str]]) -> Headers:
    """Return end-to-end headers with the encodings that the caller accepts.

    Without the header, the HTTP library would accept compression by itself;
    so identity is set where the caller names no encoding.
    """
    headers = keep_end_to_end(pairs)
    if _drop_encoding(headers) == headers:
        return (*headers, IDENTITY)
    return headers


def _drop_encoding(headers: Headers) -> Headers:
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() != ACCEPT_ENCODING.lower()
    )
