"""Payloads that parts of the gateway add to its heartbeats.

Examples
--------
A part that sends a number and keeps the highest one received::

    class HighestPart:
        name = 'highest'
        is_region_local = True

        def compose(self) -> bytes:
            return msgspec.json.encode(self.highest)

        def apply(self, sender: Member, body: bytes) -> None:
            received = msgspec.json.decode(body, type=int)
            self.highest = max(self.highest, received)

    parts.add(HighestPart())
"""

import asyncio
from typing import Protocol

import msgspec
import structlog

from baobabhinge_coordination.membership import Exchange, Member

log = structlog.get_logger(__name__)


class HeartbeatPart(Protocol):
    """Composer and receiver of one small payload of each heartbeat.

    Attributes
    ----------
    name : str
        Name of the payload, unique among the parts.
    is_region_local : bool
        Whether the payload is only sent within the region.
    """

    name: str
    is_region_local: bool

    def compose(self) -> bytes:
        """Return the payload as JSON, or empty bytes to send none."""

    def apply(self, sender: Member, body: bytes) -> None:
        """Apply the payload of another gateway.

        Raises
        ------
        msgspec.MsgspecError
            If the payload is malformed; the caller logs and ignores it.
        """


class HeartbeatParts:
    """The heartbeat parts of one gateway, by name.

    Parameters
    ----------
    region : str
        Region of this gateway.

    Attributes
    ----------
    urgent : asyncio.Event
        Set when a part has changes to send before the next interval ends.
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
        """Pass each payload to the part of its name; ignore unknown names."""
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
