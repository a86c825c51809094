"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct
from collections.abc import Mapping
from typing import NoReturn

from aiohttp import web

# Closing with this option sends a reset in place of a regular end.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
PAUSE_SECONDS = 0.02


def reset_connection(request: web.BaseRequest) -> NoReturn:
    """Reset the connection of a request.

    Raises
    ------
    ConnectionResetError
        Always, as no answer may follow.
    """
    if request.transport is not None:
        opened = request.transport.get_extra_info('socket')
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        request.transport.abort()
    raise ConnectionResetError


async def send_unframed(
    request: web.BaseRequest,
    headers: Mapping[str, str],
    body: bytes,
    *,
    is_reset: bool = False,
) -> NoReturn:
    """Answer a request with a body that ends with the connection.

    Parameters
    ----------
    request : web.BaseRequest
        The request.
    headers : mapping of str to str
        Headers of the answer.
    body : bytes
        All that is sent of the body.
    is_reset : bool, optional
        Whether the connection is reset, so that the answer is not whole.

    Raises
    ------
    ConnectionResetError
        Once the connection has ended.
    """
    transport = request.transport
    lines = [f'{name}: {text}' for name, text in headers.items()]
    head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, 'Connection: close'))
    if transport is not None and isinstance(transport, asyncio.Transport):
        transport.write(f'{head}\r\n\r\n'.encode() + body)
        await asyncio.sleep(PAUSE_SECONDS)
        if not is_reset:
            transport.close()
            raise ConnectionResetError
    reset_connection(request)
