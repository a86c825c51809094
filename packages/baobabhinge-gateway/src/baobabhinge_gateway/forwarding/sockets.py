"""Options by which a silent peer is noticed."""

import socket
from datetime import timedelta

MILLISECOND = timedelta(milliseconds=1)
# Longer than a round trip between regions with one packet sent again; shorter
# than the time in which callers give a gateway up.
UNACKNOWLEDGED_LIMIT = timedelta(milliseconds=2500)
# A connection without traffic is probed each second; two probes without an
# answer end it.
PROBE_AFTER_SECONDS = 1
PROBE_COUNT = 2


def enable_dead_peer_detection(opened: socket.socket) -> None:
    """Make the system end ``opened`` when the other side is silent.

    The options are inherited by accepted connections of a listening socket.
    """
    tcp = socket.IPPROTO_TCP
    opened.setsockopt(tcp, socket.TCP_NODELAY, 1)
    opened.setsockopt(
        tcp,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_LIMIT // MILLISECOND,
    )
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_AFTER_SECONDS)
    opened.setsockopt(tcp, socket.TCP_KEEPCNT, PROBE_COUNT)


def listen(host: str, port: int) -> socket.socket:
    """Return a listening socket.

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


# The kernel's usual bound; a burst of callers that reconnect fits in.
BACKLOG = 1024
