"""Separation of end-to-end headers from those of one connection."""

from collections.abc import Iterable

from baobabhinge_gateway.calls.headers import HOP_BY_HOP
from baobabhinge_gateway.forwarding.call import Headers

NO_NAMES: frozenset[str] = frozenset()
CONNECTION_HEADERS = HOP_BY_HOP | {'proxy-connection'}


def keep_end_to_end(
    pairs: Iterable[tuple[str, str]],
    dropped: frozenset[str] = NO_NAMES,
) -> Headers:
    """Return the headers without those of one connection and ``dropped``.

    Headers of one connection are the hop-by-hop headers and those that the
    ``Connection`` header names.

    Parameters
    ----------
    pairs : iterable of pairs
        Names and values of the headers.
    dropped : frozenset of str, optional
        Names of further headers to leave out, in lower case.
    """
    listed = tuple(pairs)
    named = {
        token.strip().lower()
        for name, text in listed
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    removed = CONNECTION_HEADERS | dropped | named
    return tuple(
        (str(name), text)
        for name, text in listed
        if name.lower() not in removed
    )
