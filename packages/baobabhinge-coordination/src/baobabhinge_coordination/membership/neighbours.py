"""Which regions a region tells its news."""

from collections.abc import Iterable, Sequence


def list_neighbours(
    region: str,
    others: Iterable[str],
    count: int,
) -> Sequence[str]:
    """Return the regions that follow ``region`` in the ring of all names.

    Regions that know the same names tell each other without gaps: each is
    told by the ``count`` regions before it.

    Examples
    --------
    >>> list_neighbours('b', ['a', 'c', 'd'], 2)
    ['c', 'd']
    >>> list_neighbours('d', ['a', 'b', 'c'], 2)
    ['a', 'b']
    """
    ring = sorted({region, *others})
    following = ring.index(region) + 1
    others_in_turn = ring[following:] + ring[: following - 1]
    return others_in_turn[:count]
