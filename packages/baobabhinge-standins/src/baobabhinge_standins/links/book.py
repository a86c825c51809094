"""Which links there are, by name, region and end."""

from collections.abc import Iterable

from baobabhinge_standins.links.messages import LinkOrder

END_SEPARATOR = '>'


class LinkBook:
    """Orders of the open links by name."""

    __slots__ = ('_orders',)

    def __init__(self) -> None:
        """Start empty."""
        self._orders: dict[str, LinkOrder] = {}

    def add(self, orders: Iterable[LinkOrder]) -> None:
        """Keep more orders."""
        self._orders.update((order.name, order) for order in orders)

    def find_crossing(self, region: str) -> list[str]:
        """Return the links that cross the border of ``region``."""
        return [
            order.name
            for order in self._orders.values()
            if order.source != order.destination
            and region in {order.source, order.destination}
        ]

    def find_touching(self, member: str) -> list[str]:
        """Return the links from or to a member, or to ``store``."""
        return [
            name for name in self._orders if member in name.split(END_SEPARATOR)
        ]

    def find_leaving(self, member: str) -> list[str]:
        """Return the links by which a member connects to others."""
        return [
            name
            for name in self._orders
            if name.partition(END_SEPARATOR)[0] == member
        ]
