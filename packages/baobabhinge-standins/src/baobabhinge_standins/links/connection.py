"""One connection through a link."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from baobabhinge_coordination.clock import Clock
from baobabhinge_standins.links.direction import Direction
from baobabhinge_standins.links.passage import Passage, PassageResetError

NO_LINGER = struct.pack('ii', 1, 0)


class End:
    """Reader and writer of one end of a connection."""

    __slots__ = ('reader', 'writer')

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Keep both."""
        self.reader = reader
        self.writer = writer

    def reset(self) -> None:
        """Close with a TCP reset."""
        if self.writer.transport.is_closing():
            return
        own_socket = self.writer.get_extra_info('socket')
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.writer.transport.abort()


class Connection:
    """Both directions of one connection.

    Parameters
    ----------
    near, far : End
        The end that connected, and the target.
    clock : Clock
        Clock of the delays.
    """

    __slots__ = ('_clock', '_far', '_near')

    def __init__(self, near: End, far: End, clock: Clock) -> None:
        """Carry nothing yet."""
        self._near = near
        self._far = far
        self._clock = clock

    def reset(self) -> None:
        """Reset both ends."""
        self._near.reset()
        self._far.reset()

    async def carry(
        self,
        forward: Direction,
        backward: Direction,
        before_end: Callable[[], Awaitable[None]],
    ) -> None:
        """Carry bytes until both ends have closed or one was reset.

        Parameters
        ----------
        forward, backward : Direction
            Towards the far end, and back.
        before_end : callable
            Awaited when the far end has closed, before the near one learns.
        """
        there = Passage(forward, self._clock)
        back = Passage(backward, self._clock, before_end)
        try:
            async with asyncio.TaskGroup() as passages:
                passages.create_task(
                    there.carry(self._near.reader, self._far.writer),
                )
                passages.create_task(
                    back.carry(self._far.reader, self._near.writer),
                )
        except* PassageResetError:
            self.reset()
        finally:
            self._far.writer.close()
