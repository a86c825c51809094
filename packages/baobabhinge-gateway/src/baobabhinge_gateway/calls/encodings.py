"""Which encodings of an answer are asked for."""

from collections.abc import Iterable

from baobabhinge_gateway.calls.call import Headers
from baobabhinge_gateway.calls.headers import keep_end_to_end

ACCEPT_ENCODING = 'Accept-Encoding'
IDENTITY = (ACCEPT_ENCODING, 'identity')


def request_identity_encoding(pairs: Iterable[tuple[str, str]]) -> Headers:
    """Return end-to-end headers that ask for an answer without encoding.

    An encoded answer could not be checked.
    """
    return (*_drop_encoding(keep_end_to_end(pairs)), IDENTITY)


def keep_requested_encoding(pairs: Iterable[tuple[str, str]]) -> Headers:
    """Return end-to-end headers with the encodings that the caller names.

    The HTTP library would ask for compression by itself.
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
