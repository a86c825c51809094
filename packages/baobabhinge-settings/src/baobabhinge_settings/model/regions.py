"""Regions and the network links between them."""

from datetime import timedelta

import msgspec


class Region(msgspec.Struct, frozen=True):
    """A region and the names of its failure domains."""

    name: str
    failure_domains: tuple[str, ...]


class Link(msgspec.Struct, frozen=True):
    """A network link between two regions, equal in both directions.

    Parameters
    ----------
    first, second : str
        Names of the regions.
    latency : timedelta
        One-way latency.
    bandwidth : int
        Bits per second in each direction.
    """

    first: str
    second: str
    latency: timedelta
    bandwidth: int

    def connects(self, one: str, other: str) -> bool:
        """Return whether the link is between these two regions."""
        return {one, other} == {self.first, self.second}

    def find_other_end(self, region: str) -> str | None:
        """Return the region at the other end, ``None`` for another link."""
        ends = {self.first: self.second, self.second: self.first}
        return ends.get(region)
