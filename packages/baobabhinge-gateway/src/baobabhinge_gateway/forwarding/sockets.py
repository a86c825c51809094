"""Sockets that detect dead peers."""

import socket
from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)
# Longer than a round trip between regions with one retransmission; shorter than
# the time after which callers stop waiting for a gateway.
UNACKNOWLEDGED_TIMEOUT = timedelta(milliseconds=2500)
# A connection without traffic is probed every second; two unanswered probes
# end it.
PROBE_AFTER_SECONDS = 1
PROBE_COUNT = 2


def enable_dead_peer_detection(opened: socket.socket) -> None:
    """Set the TCP options that end ``opened`` when its peer is silent.

    Connections that a listening socket accepts inherit the options.
    """
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        tcp,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT // MILLISECOND,
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_AFTER_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)


def listen(host: str, port: int) -> socket.socket:
    """Return a non-blocking IPv4 socket that listens at ``host:port``.

    Raises
    ------
    OSError
        If the address is in use, or is not one of this vm.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    enable_dead_peer_detection(opened)
    opened.setblocking(False)
    opened.bind((host, port))
    opened.listen(BACKLOG)
    return opened


# Connections that wait to be accepted: the usual bound of the kernel, enough
# for a burst of callers that reconnect.
BACKLOG = 1024
