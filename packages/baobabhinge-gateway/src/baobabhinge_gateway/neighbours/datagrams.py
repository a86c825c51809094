"""Encoding of what gateways send to each other as datagrams.

Heartbeats are plain MessagePack, as in earlier versions. All other messages
follow a byte that begins no MessagePack, so that earlier versions drop them.
"""

import msgspec

from baobabhinge_gateway.neighbours.messages import Heartbeat, PeerMessage

MARKER = b'\xc1'


def encode_message(message: Heartbeat | PeerMessage) -> bytes:
    """Return the datagram that carries ``message``."""
    encoded = msgspec.msgpack.encode(message)
    return encoded if isinstance(message, Heartbeat) else MARKER + encoded


def decode_message(datagram: bytes) -> Heartbeat | PeerMessage:
    """Return the message of a datagram.

    Raises
    ------
    msgspec.MsgspecError
        If the datagram can't be decoded.
    """
    if datagram.startswith(MARKER):
        encoded = datagram.removeprefix(MARKER)
        return msgspec.msgpack.decode(encoded, type=PeerMessage)
    return msgspec.msgpack.decode(datagram, type=Heartbeat)
