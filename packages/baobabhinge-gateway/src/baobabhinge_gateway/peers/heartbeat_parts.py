"""Parts of the gateway that travel with the heartbeats.

Examples
--------
A part tells its peers a number and keeps the highest that it was told::

    class HighestPart:
        name = 'highest'
        stays_home = True

        def compose(self) -> bytes:
            return msgspec.json.encode(self.highest)

        def absorb(self, sender: Member, body: bytes) -> None:
            told = msgspec.json.decode(body, type=int)
            self.highest = max(self.highest, told)

    parts.add(HighestPart())
"""

import asyncio
from typing import Protocol

import msgspec
import structlog

from baobabhinge_coordination.membership import Exchange, Member

log = structlog.get_logger(__name__)


class HeartbeatPart(Protocol):
    """A small payload of each heartbeat.

    Attributes
    ----------
    name : str
        Name of the payload, unique among the parts.
    is_region_local : bool
        Whether the payload may not leave the region.
    """

    name: str
    is_region_local: bool

    def compose(self) -> bytes:
        """Return the payload as JSON; empty bytes send nothing."""

    def apply(self, sender: Member, body: bytes) -> None:
        """Take in the payload of another gateway.

        Raises
        ------
        msgspec.MsgspecError
            If the payload is malformed; it is then ignored.
        """


class HeartbeatParts:
    """The parts of one gateway, by name.

    Parameters
    ----------
    region : str
        Region of this gateway.

    Attributes
    ----------
    urgent : asyncio.Event
        Set when a part has news that should not wait for the next period.
    """

    __slots__ = ('_parts', '_region', 'urgent')

    def __init__(self, region: str) -> None:
        """Start without parts."""
        self._region = region
        self._parts: dict[str, HeartbeatPart] = {}
        self.urgent = asyncio.Event()

    def add(self, part: HeartbeatPart) -> None:
        """Add a part; one of the same name is replaced."""
        self._parts[part.name] = part

    def compose(self, region: str) -> dict[str, msgspec.Raw]:
        """Return the payloads for a gateway of ``region``."""
        composed = {
            name: msgspec.Raw(part.compose())
            for name, part in self._parts.items()
            if region == self._region or not part.is_region_local
        }
        return {name: raw for name, raw in composed.items() if bytes(raw)}

    def apply(self, exchange: Exchange) -> None:
        """Hand each payload to its part; unknown ones are ignored."""
        for name, raw in exchange.payloads.items():
            part = self._parts.get(name)
            if part is not None:
                _apply_one(part, exchange.sender, bytes(raw))


def _apply_one(part: HeartbeatPart, sender: Member, body: bytes) -> None:
    try:
        part.apply(sender, body)
    except msgspec.MsgspecError:
        log.warning(
            'heartbeat-part-malformed', part=part.name, peer=sender.name
        )
