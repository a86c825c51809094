"""Bytes that the kernel holds for the connections of a listener."""

import socket
import sys
from pathlib import Path

TABLE = Path('/proc/net/tcp')
# Columns of the table: the local address, and what is queued in both ways.
LOCAL = 1
QUEUES = 4
HEXADECIMAL = 16


def measure_queues(address: str) -> int:
    """Return the bytes sent and not yet acknowledged, or not yet read.

    Parameters
    ----------
    address : str
        ``host:port`` of the listener; its IPv4 connections are counted.
    """
    local = _format_address(address)
    table = TABLE.read_text(encoding='ascii')
    rows = map(str.split, table.splitlines())
    found = [row[QUEUES] for row in rows if row[LOCAL] == local]
    return sum(map(_add, found))


def _add(queues: str) -> int:
    sent, _, received = queues.partition(':')
    return int(sent, HEXADECIMAL) + int(received, HEXADECIMAL)


def _format_address(address: str) -> str:
    """Return an address in the form of the table."""
    host, _, port = address.rpartition(':')
    number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
    host_part = number.to_bytes(4, 'big').hex().upper()
    port_part = int(port).to_bytes(2, 'big').hex().upper()
    return f'{host_part}:{port_part}'
