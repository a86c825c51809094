"""Passing heartbeats on without sockets, counted."""

from collections.abc import Iterable

import msgspec

from baobabhinge_coordination.membership import (
    Contact,
    Exchange,
    MembershipProtocol,
    MemberUnreachableError,
)
from baobabhinge_gateway.peers.benchmark.figures import Cost

HEADER_BYTES = 270


class SimulatedNetwork:
    """Pass encoded exchanges on and count them.

    Attributes
    ----------
    cost : Cost
        What was passed on.
    down : set of str
        Names of members that do not answer.
    """

    __slots__ = ('_protocols', 'cost', 'down')

    def __init__(self) -> None:
        """Know no member."""
        self._protocols: dict[str, MembershipProtocol] = {}
        self.cost = Cost()
        self.down: set[str] = set()

    def add(self, name: str, protocol: MembershipProtocol) -> None:
        """Pass exchanges for ``name`` to ``protocol``."""
        self._protocols[name] = protocol

    def add_all(
        self,
        names: Iterable[str],
        protocol: MembershipProtocol,
    ) -> None:
        """Pass exchanges for all ``names`` to ``protocol``."""
        for name in names:
            self.add(name, protocol)

    def reset(self) -> None:
        """Count from zero again."""
        self.cost = Cost()

    async def exchange(self, contact: Contact, request: Exchange) -> Exchange:
        """Pass a question on and return the answer.

        Raises
        ------
        MemberUnreachableError
            If the member is down.
        """
        if contact.name in self.down:
            raise MemberUnreachableError(contact.name)
        asked = msgspec.json.encode(request)
        protocol = self._protocols[contact.name]
        answer = protocol.answer(msgspec.json.decode(asked, type=Exchange))
        told = msgspec.json.encode(answer)
        self.cost.exchanges += 1
        self.cost.wire_bytes += len(asked) + len(told) + HEADER_BYTES
        return msgspec.json.decode(told, type=Exchange)

    async def request_probe(self, helper: Contact, target: Contact) -> bool:
        """Tell whether ``target`` answers."""
        return target.name not in self.down
