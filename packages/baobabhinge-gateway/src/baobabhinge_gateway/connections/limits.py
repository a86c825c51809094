"""Limits on the connections of clients."""

from datetime import timedelta

import msgspec

# For the store, other gateways, idle connections to servers, logs and those
# that were accepted and are not counted yet.
RESERVED_DESCRIPTORS = 200
MIN_DESCRIPTORS = 16

# The kernel doubles these sizes. They hold ordinary requests and answers
# whole, and carry 16 MB/s at a round trip of 2.8 ms.
RECEIVE_BUFFER_BYTES = 1 << 16
SEND_BUFFER_BYTES = 1 << 15
# Of a body, before the client is made to wait. The HTTP library bounds the
# number of chunks by a sixteenth of it.
READ_BUFFER_BYTES = 1 << 14
WRITE_BUFFER_BYTES = 1 << 15
# Of an answer of a server or of another gateway: what the kernel keeps, doubled
# by it, and what is read ahead of the client. It carries 800 KB/s between two
# regions at a round trip of 160 ms.
ANSWER_BUFFER_BYTES = 1 << 16
ANSWER_READ_BYTES = 1 << 14
# Longer answers are written in pieces of this size.
PIECE_BYTES = 1 << 14
# Pipelined requests that are received while another one is answered. Eight
# requests of some KB fit.
AHEAD_BYTES = 1 << 15
# Below the shortest idle limit, above the time in which a burst arrives.
MIN_WAIT = timedelta(seconds=1)
# A client that takes a few KB every second makes room for a piece before.
MAX_WRITE_WAIT = timedelta(seconds=60)
# A body may arrive slowly, but not with longer pauses.
MAX_BODY_PAUSE = timedelta(seconds=15)


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limits of one listener for clients.

    Parameters
    ----------
    descriptors : int
        Connections of clients, and to servers for their requests, at once.
    """

    descriptors: int


def compute_limits(max_descriptors: int) -> ConnectionLimits:
    """Return the limits of a process.

    Parameters
    ----------
    max_descriptors : int
        Descriptors that the process may have open.
    """
    return ConnectionLimits(
        max(MIN_DESCRIPTORS, max_descriptors - RESERVED_DESCRIPTORS)
    )
