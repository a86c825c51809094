"""Gateways and regions that a call has passed."""

import msgspec

from baobabhinge_gateway.errors import MalformedCallError, PathLoopError

HOP_SEPARATOR = ','
REGION_SEPARATOR = '@'


class Hop(msgspec.Struct, frozen=True):
    """A gateway that a call has passed, and its region."""

    gateway: str
    region: str


class HopList(msgspec.Struct, frozen=True):
    """Gateways that a call has passed, in order.

    Parameters
    ----------
    hops : tuple of Hop
        Gateways passed on the path to this one.
    tried : tuple of Hop
        Gateways that earlier attempts were sent to, without an answer.
    """

    hops: tuple[Hop, ...] = ()
    tried: tuple[Hop, ...] = ()

    def extend(self, hop: Hop) -> 'HopList':
        """Return the list with ``hop`` at its end.

        Raises
        ------
        PathLoopError
            If the gateway is in the list, or if the call returns to a region
            that it has left.
        """
        if any(passed.gateway == hop.gateway for passed in self.hops):
            raise PathLoopError('the call has already passed this gateway')
        if hop.region in _list_left_regions(self.hops):
            raise PathLoopError('the call returns to a region that it has left')
        return HopList((*self.hops, hop), self.tried)

    def add_tried(self, hop: Hop) -> 'HopList':
        """Return the list with ``hop`` added to the gateways tried."""
        return HopList(self.hops, (*self.tried, hop))

    def has_region(self, region: str) -> bool:
        """Return whether the call has passed, or was tried in, ``region``."""
        return any(hop.region == region for hop in self._list_passed())

    def render(self) -> str:
        """Return the text of the header `PATH`.

        Gateways of earlier attempts come before the path to this gateway, so
        that the next gateway treats their regions as left.
        """
        return HOP_SEPARATOR.join(
            f'{hop.gateway}{REGION_SEPARATOR}{hop.region}'
            for hop in self._list_passed()
        )

    @classmethod
    def parse(cls, text: str) -> 'HopList':
        """Parse the text of the header `PATH`.

        Raises
        ------
        MalformedCallError
            If an entry is not ``gateway@region``.
        """
        entries = text.split(HOP_SEPARATOR) if text else []
        return cls(tuple(_parse_hop(entry) for entry in entries))

    @property
    def entry_hop(self) -> Hop:
        """Return the first gateway on the path, which the caller called.

        In a parsed path, gateways of earlier attempts come before it, and at
        most one gateway comes after it.
        """
        return self.hops[-2:][0]

    def _list_passed(self) -> tuple[Hop, ...]:
        return self.tried + self.hops


def _list_left_regions(hops: tuple[Hop, ...]) -> set[str]:
    if not hops:
        return set()
    current = hops[-1].region
    return {hop.region for hop in hops if hop.region != current}


def _parse_hop(entry: str) -> Hop:
    gateway, separator, region = entry.strip().partition(REGION_SEPARATOR)
    if not (gateway and separator and region):
        raise MalformedCallError(
            'an entry of the path header is not gateway@region'
        )
    return Hop(gateway, region)
