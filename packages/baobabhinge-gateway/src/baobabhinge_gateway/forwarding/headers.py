"""Headers that concern one connection only."""

from collections.abc import Iterable

from baobabhinge_gateway.calls.headers import HOP_BY_HOP
from baobabhinge_gateway.forwarding.call import Headers

NO_NAMES: frozenset[str] = frozenset()
CONNECTION_HEADERS = HOP_BY_HOP | {'proxy-connection'}


def keep_end_to_end(
    pairs: Iterable[tuple[str, str]],
    dropped: frozenset[str] = NO_NAMES,
) -> Headers:
    """Drop the headers of one connection and those in ``dropped``.

    Parameters
    ----------
    pairs : iterable of pairs
        Names and texts.
    dropped : frozenset of str, optional
        Further names, in lower case.
    """
    listed = tuple(pairs)
    named = {
        token.strip().lower()
        for name, text in listed
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    gone = CONNECTION_HEADERS | dropped | named
    return tuple(
        (str(name), text) for name, text in listed if name.lower() not in gone
    )
