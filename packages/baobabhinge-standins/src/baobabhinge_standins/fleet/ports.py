"""Free TCP ports of the loopback address."""

import socket
from random import SystemRandom

HOST = '127.0.0.1'
LOWEST_PORT = 10_000
# Above it the kernel chooses ports for outgoing connections.
HIGHEST_PORT = 32_000


class NoFreePortError(Exception):
    """No free port was found."""


def reserve_port() -> int:
    """Return a port that was free a moment ago.

    Raises
    ------
    NoFreePortError
        If every port that was tried is in use.
    """
    random = SystemRandom()
    tries = (random.randint(LOWEST_PORT, HIGHEST_PORT) for _ in range(100))
    for port in tries:
        if _is_free(port):
            return port
    raise NoFreePortError


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
