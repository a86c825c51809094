"""Sockets that detect dead peers."""

import socket
from datetime import timedelta

from baobabhinge_gateway.connections.limits import (
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
)

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


def limit_buffers(
    opened: socket.socket, receive_bytes: int, send_bytes: int
) -> None:
    """Bound what the kernel keeps for ``opened``, or for what it accepts."""
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes)


def listen(
    host: str, port: int, *, has_small_buffers: bool = False
) -> socket.socket:
    """Return a non-blocking IPv4 socket that listens at ``host:port``.

    Parameters
    ----------
    host : str
        Address of this vm.
    port : int
        Port.
    has_small_buffers : bool, optional
        Whether connections get the buffers of connections of clients.

    Raises
    ------
    OSError
        If the address is in use, or is not one of this vm.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    enable_dead_peer_detection(opened)
    if has_small_buffers:
        limit_buffers(opened, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES)
    opened.setblocking(False)
    opened.bind((host, port))
    opened.listen(BACKLOG)
    return opened


# Connections that wait to be accepted: the usual bound of the kernel, enough
# for a burst of callers that reconnect.
BACKLOG = 1024
