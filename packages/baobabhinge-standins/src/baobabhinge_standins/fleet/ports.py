"""TCP ports of the loopback address that no other process is given."""

import socket
from collections.abc import Iterator
from functools import cache
from itertools import cycle, islice
from random import SystemRandom

HOST = '127.0.0.1'
LOWEST_PORT = 10_000
# Above it the kernel chooses ports for outgoing connections.
HIGHEST_PORT = 32_000
BLOCK_PORTS = 1_000


class NoFreePortError(Exception):
    """No free port was found."""


class PortBlock:
    """Consecutive ports that one process hands out in turn.

    The first port is listened at for as long as the process runs, so that
    no other process takes the same block.

    Parameters
    ----------
    first : int
        First port of the block.

    Raises
    ------
    OSError
        If another process listens at the first port.
    """

    __slots__ = ('_guard', '_ports')

    def __init__(self, first: int) -> None:
        """Claim the block."""
        self._guard = socket.create_server((HOST, first))
        self._ports = cycle(range(first + 1, first + BLOCK_PORTS))

    def list_free(self) -> Iterator[int]:
        """Yield the ports in use by nothing, each of the block once."""
        return filter(_is_free, islice(self._ports, BLOCK_PORTS))


def reserve_port() -> int:
    """Return a port that this process was not given for a long time.

    Raises
    ------
    NoFreePortError
        If every port is in use.
    """
    port = next(_claim_block().list_free(), None)
    if port is None:
        raise NoFreePortError
    return port


@cache
def _claim_block() -> PortBlock:
    firsts = list(range(LOWEST_PORT, HIGHEST_PORT, BLOCK_PORTS))
    SystemRandom().shuffle(firsts)
    for first in firsts:
        block = _try_block(first)
        if block is not None:
            return block
    raise NoFreePortError


def _try_block(first: int) -> PortBlock | None:
    try:
        return PortBlock(first)
    except OSError:
        return None


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
