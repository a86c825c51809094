"""Control of the links from a test."""

from collections.abc import Iterable

import aiohttp
import msgspec

from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.links.book import LinkBook
from baobabhinge_standins.links.messages import (
    CUT,
    HEALTHY,
    FaultOrder,
    LinkFault,
    LinkOrder,
    LinkTraffic,
    OpenedLink,
)


class Links:
    """Open links, set their faults and read what they carried.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    address : str
        Base URL of the control interface.

    Attributes
    ----------
    book : LinkBook
        Names of the open links.
    """

    __slots__ = ('_control', 'book')

    def __init__(self, http: aiohttp.ClientSession, address: str) -> None:
        """Open nothing yet."""
        self._control = ControlClient(http, address)
        self.book = LinkBook()

    async def add(self, orders: Iterable[LinkOrder]) -> dict[str, int]:
        """Open links and return their ports by name."""
        listed = list(orders)
        self.book.add(listed)
        answer = await self._control.send('POST', 'links', listed)
        opened = msgspec.json.decode(answer, type=list[OpenedLink])
        return {link.name: link.port for link in opened}

    async def set_fault(self, fault: LinkFault, *names: str) -> None:
        """Set the fault at the named links, or at every link."""
        await self._control.send(
            'PUT', 'faults', FaultOrder(fault, list(names))
        )

    async def cut_region(self, region: str) -> None:
        """Cut every link across the border of ``region``."""
        names = self.book.find_crossing(region)
        if names:
            await self.set_fault(CUT, *names)

    async def heal(self) -> None:
        """Take the faults of every link away."""
        await self.set_fault(HEALTHY)

    async def reset(self, *names: str) -> None:
        """Reset the open connections of the named links, or of every link."""
        await self._control.send('POST', 'resets', list(names))

    async def read_traffic(self) -> list[LinkTraffic]:
        """Return what each link has carried."""
        answer = await self._control.send('GET', 'links', [])
        return msgspec.json.decode(answer, type=list[LinkTraffic])
