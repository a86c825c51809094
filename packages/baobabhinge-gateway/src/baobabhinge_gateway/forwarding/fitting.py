"""Selection of entries of messages by their encoded length."""

from collections.abc import Iterable, Sequence
from typing import TypeVar

import msgspec

_Entry = TypeVar('_Entry')


def select_fitting(
    entries: Iterable[_Entry], max_bytes: int
) -> Sequence[_Entry]:
    """Return the entries that together fit into a number of bytes, in order.

    Entries that do not fit are left out, so that one long entry does not keep
    shorter ones back.

    Parameters
    ----------
    entries : iterable
        Entries of a message, the most important first.
    max_bytes : int
        Bound on the sum of their encoded lengths.
    """
    left = max_bytes
    fitting = []
    for entry in entries:
        length = len(msgspec.msgpack.encode(entry))
        if length <= left:
            fitting.append(entry)
            left -= length
    return tuple(fitting)
