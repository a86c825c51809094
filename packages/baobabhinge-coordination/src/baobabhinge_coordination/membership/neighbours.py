"""Regions to which a region reports its changes."""

from collections.abc import Iterable, Sequence


def list_neighbours(
    region: str,
    other_regions: Iterable[str],
    count: int,
) -> Sequence[str]:
    """Return the regions that follow ``region`` in the ring of all names.

    If all regions know the same names, each one receives reports from the
    ``count`` regions before it, so that none is left out.

    Examples
    --------
    >>> list_neighbours('b', ['a', 'c', 'd'], 2)
    ['c', 'd']
    >>> list_neighbours('d', ['a', 'b', 'c'], 2)
    ['a', 'b']
    """
    ring = sorted({region, *other_regions})
    following = ring.index(region) + 1
    ring_from_region = ring[following:] + ring[: following - 1]
    return ring_from_region[:count]
