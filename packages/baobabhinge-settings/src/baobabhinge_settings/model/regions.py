"""Regions and the links between them."""

from datetime import timedelta

import msgspec


class Region(msgspec.Struct, frozen=True):
    """A region with its failure domains."""

    name: str
    failure_domains: tuple[str, ...]


class Link(msgspec.Struct, frozen=True):
    """The link between two regions, the same in both directions.

    Parameters
    ----------
    first, second : str
        Names of the regions.
    latency : timedelta
        One-way latency.
    bandwidth : int
        Bits a second in each direction.
    """

    first: str
    second: str
    latency: timedelta
    bandwidth: int

    def connects(self, one: str, other: str) -> bool:
        """Tell whether the link is between these two regions."""
        return {one, other} == {self.first, self.second}

    def find_other_end(self, region: str) -> str | None:
        """Return the region to which the link leads from ``region``."""
        ends = {self.first: self.second, self.second: self.first}
        return ends.get(region)
