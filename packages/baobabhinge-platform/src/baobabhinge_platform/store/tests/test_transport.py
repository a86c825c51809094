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


async def send_request(address):
    async with aiohttp.ClientSession() as http:
        transport = ConsulTransport(http, address)
        async with transport.open(ConsulRequest('GET', 'kv/a', timeout=SHORT)):
            raise AssertionError


async def close_connection(reader, writer):
    writer.close()


async def wait_until_client_closes(reader, writer):
    await reader.read()
    writer.close()


async def test_failed_connection_names_the_address():
    server = await asyncio.start_server(close_connection, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    address = f'http://127.0.0.1:{port}'
    with pytest.raises(StoreUnavailableError) as raised:
        await send_request(address)
    assert str(raised.value) == f'no connection to {address}'


@pytest.mark.parametrize('serve', [close_connection, wait_until_client_closes])
async def test_missing_answer_names_the_address(serve):
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    address = f'http://127.0.0.1:{port}'
    async with server:
        with pytest.raises(StoreAnswerLostError) as raised:
            await send_request(address)
    assert str(raised.value) == f'no complete answer from {address}'
