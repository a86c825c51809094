"""Every link of a deployment."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.links.bandwidth import Bandwidth
from baobabhinge_standins.links.direction import Direction
from baobabhinge_standins.links.link import Link
from baobabhinge_standins.links.messages import LinkOrder


class LinkTable:
    """Links by name, and the lines that they share."""

    __slots__ = ('_clock', '_lines', '_links')

    def __init__(self) -> None:
        """Start without links."""
        self._clock = SystemClock()
        self._links: dict[str, Link] = {}
        self._lines: dict[tuple[str, str], Bandwidth] = {}

    def add(self, order: LinkOrder) -> Link:
        """Add a link that listens nowhere yet."""
        link = Link(
            order,
            self._build_direction(order, order.source, order.destination),
            self._build_direction(order, order.destination, order.source),
            self._clock,
        )
        self._links[order.name] = link
        return link

    def find(self, names: Sequence[str] = ()) -> list[Link]:
        """Return the named links, or every link if there is no name."""
        return [self._links[name] for name in names or self._links]

    def _build_direction(
        self,
        order: LinkOrder,
        source: str,
        destination: str,
    ) -> Direction:
        line = self._lines.setdefault(
            (source, destination),
            Bandwidth(order.bits_per_second),
        )
        latency = timedelta(milliseconds=order.latency_ms)
        return Direction(self._clock, latency, line)
