"""Free TCP ports of the loopback address."""

import socket

HOST = '127.0.0.1'


def reserve_port() -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
    return port
