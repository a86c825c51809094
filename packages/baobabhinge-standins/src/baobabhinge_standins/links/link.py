"""One link: a listening port and its connections."""

import asyncio

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.links.connection import Connection, End
from baobabhinge_standins.links.direction import Direction
from baobabhinge_standins.links.listening import Gate
from baobabhinge_standins.links.messages import (
    HEALTHY,
    LinkFault,
    LinkOrder,
    LinkTraffic,
)


class Link:
    """Pass connections on to the target of an order.

    Parameters
    ----------
    order : LinkOrder
        Target and regions.
    forward, backward : Direction
        Towards the target, and back.
    clock : Clock
        Clock of the delays.

    Attributes
    ----------
    gate : Gate
        Where the link listens.
    """

    __slots__ = (
        '_backward',
        '_clock',
        '_connections',
        '_count',
        '_fault',
        '_forward',
        '_order',
        'gate',
    )

    def __init__(
        self,
        order: LinkOrder,
        forward: Direction,
        backward: Direction,
        clock: Clock,
    ) -> None:
        """Listen nowhere yet."""
        self._order = order
        self._forward = forward
        self._backward = backward
        self._clock = clock
        self._fault = HEALTHY
        self.gate = Gate(order.target, self._serve)
        self._connections: set[Connection] = set()
        self._count = 0

    async def apply(self, fault: LinkFault) -> None:
        """Set the fault, in place of the present one."""
        self._fault = fault
        self._forward.apply(fault.forward)
        self._backward.apply(fault.backward)
        if fault.is_refused:
            self.gate.close()
        else:
            await self.gate.open()

    def reset(self) -> None:
        """Reset every open connection."""
        for connection in self._connections:
            connection.reset()

    def count(self) -> LinkTraffic:
        """Return what the link has carried."""
        return LinkTraffic(
            self._order.name,
            self._order.source,
            self._order.destination,
            self._forward.passed_bytes,
            self._backward.passed_bytes,
            self._count,
        )

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._count += 1
        try:
            await self._pass_on(End(reader, writer))
        finally:
            writer.close()

    async def _pass_on(self, near: End) -> None:
        if self._fault.is_half_open:
            await near.writer.wait_closed()
            return
        handshake = self._forward.delay + self._backward.delay
        await asyncio.sleep(handshake.total_seconds())
        await self._forward.wait_open()
        far = await self.gate.connect()
        if far is None:
            near.reset()
        else:
            await self._carry(Connection(near, far, self._clock))

    async def _carry(self, connection: Connection) -> None:
        self._connections.add(connection)
        try:
            await connection.carry(
                self._forward,
                self._backward,
                self.gate.check_target,
            )
        finally:
            self._connections.discard(connection)
