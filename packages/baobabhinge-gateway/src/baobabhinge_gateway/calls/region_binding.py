"""The header that binds a call to regions."""

from baobabhinge_gateway.errors import MalformedCallError

SEPARATOR = ','


def parse_regions(text: str | None) -> frozenset[str] | None:
    """Return the regions that a header names; ``None`` for no header.

    Raises
    ------
    MalformedCallError
        If a name is empty.
    """
    if text is None:
        return None
    regions = frozenset(name.strip() for name in text.split(SEPARATOR))
    if '' in regions:
        raise MalformedCallError('a region of the binding has no name')
    return regions


def render_regions(regions: frozenset[str]) -> str:
    """Return the text of the header."""
    return SEPARATOR.join(sorted(regions))
