import asyncio

import pytest

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.suspects.engine_probe import wait_for_end

HOST = '127.0.0.1'
SOON = 0.2


async def answer(reader, writer):
    await reader.readline()
    writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
    writer.close()


async def end_silently(reader, writer):
    writer.close()


async def say_nothing(reader, writer):
    await reader.read()
    writer.close()


@pytest.mark.parametrize(
    ('behaviour', 'ends_soon', 'is_dead'),
    [
        (answer, False, False),
        (answer, True, True),
        (end_silently, False, True),
        (say_nothing, True, True),
    ],
)
async def test_an_engine_is_watched_to_its_end(behaviour, ends_soon, is_dead):
    connections = []

    async def accept(reader, writer):
        connections.append(writer)
        await behaviour(reader, writer)

    def end():
        server.close()
        for writer in connections:
            writer.transport.abort()

    server = await asyncio.start_server(accept, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    if ends_soon:
        asyncio.get_running_loop().call_later(SOON, end)
    assert await wait_for_end(f'{HOST}:{port}', SystemClock()) is is_dead
    server.close()


async def test_an_engine_that_refuses_is_dead():
    server = await asyncio.start_server(answer, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    assert await wait_for_end(f'{HOST}:{port}', SystemClock())
