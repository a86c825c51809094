"""Header that binds a call to regions."""

from baobabhinge_gateway.errors import MalformedCallError

SEPARATOR = ','


def parse_regions(text: str | None) -> frozenset[str] | None:
    """Return the regions that the header names; ``None`` without it.

    Raises
    ------
    MalformedCallError
        If a name is empty.
    """
    if text is None:
        return None
    regions = frozenset(name.strip() for name in text.split(SEPARATOR))
    if '' in regions:
        raise MalformedCallError('the region binding has an empty region name')
    return regions


def render_regions(regions: frozenset[str]) -> str:
    """Return the text of the header for ``regions``."""
    return SEPARATOR.join(sorted(regions))
