"""Time for which received bytes have waited, as the kernel tells it."""

import asyncio
import socket
import struct
from contextlib import suppress
from datetime import timedelta

NO_TIME = timedelta()
MILLISECOND = timedelta(milliseconds=1)
# Offset of tcpi_last_data_recv in struct tcp_info of Linux: milliseconds since
# the latest data arrived.
LAST_DATA_OFFSET = 52
LAST_DATA = struct.Struct('I')
INFO_BYTES = LAST_DATA_OFFSET + LAST_DATA.size


def measure_waited(
    transport: asyncio.BaseTransport | None, bound: timedelta
) -> timedelta:
    """Return for how long the latest bytes of a connection have waited.

    Parameters
    ----------
    transport : asyncio.BaseTransport or None
        Transport of the connection; ``None`` once it is lost.
    bound : timedelta
        Upper bound, as bytes were read in the meantime.
    """
    if transport is None or bound < MILLISECOND:
        return NO_TIME
    opened = transport.get_extra_info('socket')
    if opened is None or opened.fileno() < 0:
        return NO_TIME
    return min(bound, _read_age(opened))


def _read_age(opened: socket.socket) -> timedelta:
    """Return the age of the latest data, 0 where the kernel tells none."""
    told = b''
    with suppress(OSError):
        told = opened.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES
        )
    if len(told) < INFO_BYTES:
        return NO_TIME
    age_ms: int = LAST_DATA.unpack_from(told, LAST_DATA_OFFSET)[0]
    return age_ms * MILLISECOND
