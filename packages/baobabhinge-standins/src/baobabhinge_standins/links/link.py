"""One link: a listening port and its connections."""

import asyncio
from contextlib import suppress

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.links.connection import Connection, End
from baobabhinge_standins.links.direction import Direction
from baobabhinge_standins.links.messages import (
    HEALTHY,
    LinkFault,
    LinkOrder,
    LinkTraffic,
)

HOST = '127.0.0.1'


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
    port : int
        Port at which the link listens; 0 before it is opened.
    """

    __slots__ = (
        '_backward',
        '_clock',
        '_connections',
        '_count',
        '_fault',
        '_forward',
        '_order',
        '_server',
        'port',
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
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._count = 0
        self.port = 0

    async def apply(self, fault: LinkFault) -> None:
        """Set the fault, in place of the present one."""
        self._fault = fault
        self._forward.apply(fault.forward)
        self._backward.apply(fault.backward)
        if fault.is_refused and self._server:
            self._server.close()
            self._server = None
        elif not fault.is_refused and not self._server:
            server = await asyncio.start_server(self._serve, HOST, self.port)
            self.port = server.sockets[0].getsockname()[1]
            self._server = server

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
        host, _, port = self._order.target.rpartition(':')
        with suppress(OSError):
            far = End(*await asyncio.open_connection(host, int(port)))
            await self._carry(Connection(near, far, self._clock))

    async def _carry(self, connection: Connection) -> None:
        self._connections.add(connection)
        try:
            await connection.carry(self._forward, self._backward)
        finally:
            self._connections.discard(connection)
