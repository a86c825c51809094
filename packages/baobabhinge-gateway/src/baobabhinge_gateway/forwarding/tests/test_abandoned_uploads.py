"""Long requests that are abandoned while they are being sent.

Guards against GONE: what was written before the caller left was still
delivered, and ran, as its close came behind it.
"""

import asyncio
import socket
from contextlib import closing
from datetime import timedelta

import pytest

from baobabhinge_gateway.forwarding.connector import build_strict_session
from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)

HOST = '127.0.0.1'
RECEIVE_BYTES = 1 << 14
READ_BYTES = 1 << 16
PAUSE_SECONDS = 0.3
LIMIT = timedelta(seconds=20)


async def send(http, port, body):
    outbound = OutboundRequest('POST', f'{HOST}:{port}', '/', (), body, LIMIT)
    async with open_exchange(http, outbound):
        raise AssertionError('it is not answered')


def read_all(opened) -> int:
    """Return how many bytes arrive until the connection ends."""
    length = 0
    try:
        while received := opened.recv(READ_BYTES):
            length += len(received)
    except ConnectionResetError:
        return length
    return length


@pytest.mark.parametrize('body_bytes', [200_000, 2_000_000, 8_000_000])
async def test_the_rest_of_an_abandoned_request_is_not_delivered(body_bytes):
    loop = asyncio.get_running_loop()
    with closing(socket.create_server((HOST, 0))) as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        port = listening.getsockname()[1]
        async with build_strict_session() as http:
            sent = send(http, port, bytes(body_bytes))
            sending = asyncio.create_task(sent)
            await asyncio.sleep(PAUSE_SECONDS)
            with closing(listening.accept()[0]) as opened:
                sending.cancel()
                await asyncio.sleep(PAUSE_SECONDS)
                received = await loop.run_in_executor(None, read_all, opened)
    assert received < body_bytes
