import asyncio

import pytest

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.suspects.engine_probe import wait_for_end

HOST = '127.0.0.1'
END_DELAY_SECONDS = 0.2


async def answer(reader, writer):
    await reader.readline()
    writer.write(b'HTTP/1.1 200 OK\r\n\r\n')
    writer.close()


async def close_without_answer(reader, writer):
    writer.close()


async def never_answer(reader, writer):
    await reader.read()
    writer.close()


@pytest.mark.parametrize(
    ('respond', 'ends_later', 'is_dead'),
    [
        (answer, False, False),
        (answer, True, True),
        (close_without_answer, False, True),
        (never_answer, True, True),
    ],
)
async def test_the_end_of_an_engine_after_a_broken_answer_is_detected(
    respond, ends_later, is_dead
):
    connections = []

    async def accept(reader, writer):
        connections.append(writer)
        await respond(reader, writer)

    def end():
        server.close()
        for writer in connections:
            writer.transport.abort()

    server = await asyncio.start_server(accept, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    if ends_later:
        asyncio.get_running_loop().call_later(END_DELAY_SECONDS, end)
    assert await wait_for_end(f'{HOST}:{port}', SystemClock()) is is_dead
    server.close()


async def test_an_engine_that_refuses_connections_has_ended():
    server = await asyncio.start_server(answer, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    assert await wait_for_end(f'{HOST}:{port}', SystemClock())
