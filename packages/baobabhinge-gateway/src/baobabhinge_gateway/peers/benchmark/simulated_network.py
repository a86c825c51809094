"""Delivery of heartbeats without sockets."""

from collections.abc import Iterable

import msgspec

from baobabhinge_coordination.membership import (
    Contact,
    Exchange,
    MembershipProtocol,
    MemberUnreachableError,
)
from baobabhinge_gateway.peers.benchmark.figures import Cost

# HTTP headers of one heartbeat and its answer together.
HEADER_BYTES = 270


class SimulatedNetwork:
    """Deliver encoded exchanges to members and count them.

    Attributes
    ----------
    cost : Cost
        Count of the delivered exchanges and their bytes.
    down : set of str
        Names of members that do not answer.
    """

    __slots__ = ('_protocols', 'cost', 'down')

    def __init__(self) -> None:
        """Start without members."""
        self._protocols: dict[str, MembershipProtocol] = {}
        self.cost = Cost()
        self.down: set[str] = set()

    def add(self, name: str, protocol: MembershipProtocol) -> None:
        """Deliver exchanges for ``name`` to ``protocol``."""
        self._protocols[name] = protocol

    def add_all(
        self,
        names: Iterable[str],
        protocol: MembershipProtocol,
    ) -> None:
        """Deliver exchanges for all ``names`` to ``protocol``."""
        for name in names:
            self.add(name, protocol)

    def reset(self) -> None:
        """Reset the counts to zero."""
        self.cost = Cost()

    async def exchange(self, contact: Contact, request: Exchange) -> Exchange:
        """Deliver a heartbeat and return the answer.

        Raises
        ------
        MemberUnreachableError
            If the member is down.
        """
        if contact.name in self.down:
            raise MemberUnreachableError(contact.name)
        encoded_request = msgspec.json.encode(request)
        protocol = self._protocols[contact.name]
        answer = protocol.answer(
            msgspec.json.decode(encoded_request, type=Exchange)
        )
        encoded_answer = msgspec.json.encode(answer)
        self.cost.exchanges += 1
        self.cost.wire_bytes += (
            len(encoded_request) + len(encoded_answer) + HEADER_BYTES
        )
        return msgspec.json.decode(encoded_answer, type=Exchange)

    async def request_probe(self, helper: Contact, target: Contact) -> bool:
        """Return whether ``target`` answers."""
        return target.name not in self.down
