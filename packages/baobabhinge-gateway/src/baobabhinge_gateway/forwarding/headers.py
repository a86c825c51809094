"""Headers that concern one connection only."""

from collections.abc import Iterable

from baobabhinge_gateway.forwarding.call import Headers

NONE_MORE: frozenset[str] = frozenset()
HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)


def keep_end_to_end(
    pairs: Iterable[tuple[str, str]],
    dropped: frozenset[str] = NONE_MORE,
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
    gone = HOP_BY_HOP | dropped | named
    return tuple(
        (str(name), text) for name, text in listed if name.lower() not in gone
    )
