import asyncio
from datetime import timedelta

import aiohttp
import pytest

from baobabhinge_coordination.store import (
    StoreAnswerLostError,
    StoreUnavailableError,
)
from baobabhinge_platform.store.transport import ConsulRequest, ConsulTransport

SHORT = timedelta(milliseconds=50)


async def call(address):
    async with aiohttp.ClientSession() as http:
        transport = ConsulTransport(http, address)
        async with transport.open(ConsulRequest('GET', 'kv/a', timeout=SHORT)):
            raise AssertionError


async def close(reader, writer):
    writer.close()


async def wait(reader, writer):
    await reader.read()
    writer.close()


async def test_no_connection_is_said_in_simple_words():
    server = await asyncio.start_server(close, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    address = f'http://127.0.0.1:{port}'
    with pytest.raises(StoreUnavailableError) as raised:
        await call(address)
    assert str(raised.value) == f'no connection to {address}'


@pytest.mark.parametrize('serve', [close, wait])
async def test_a_lost_answer_is_said_in_simple_words(serve):
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    address = f'http://127.0.0.1:{port}'
    async with server:
        with pytest.raises(StoreAnswerLostError) as raised:
            await call(address)
    assert str(raised.value) == f'no whole answer from {address}'
