"""Streams to callers that do not read."""

import asyncio
from datetime import timedelta

import pytest
from aiohttp.test_utils import TestServer
from aiohttp.web import Application

from baobabhinge_gateway.backends import ExchangeAnswer
from baobabhinge_gateway.errors import CallerLostError
from baobabhinge_gateway.execution.caller_stream import CallerStream

FRAME = b'a' * (1 << 20)
FRAME_COUNT = 200
MODULE = 'baobabhinge_gateway.execution.caller_stream'


@pytest.fixture
def short_write_timeout(monkeypatch):
    monkeypatch.setattr(f'{MODULE}.WRITE_TIMEOUT', timedelta(seconds=0.2))


async def test_a_caller_that_does_not_read_is_disconnected(short_write_timeout):
    """A stalled caller must not occupy a stream and its buffers forever."""
    written = []
    ended = asyncio.get_running_loop().create_future()

    async def serve(request):
        stream = CallerStream(request, 'r1')
        response = await stream.start(ExchangeAnswer(200, (), iter(())))
        try:
            for _ in range(FRAME_COUNT):
                await stream.write(response, FRAME)
                written.append(FRAME)
        except CallerLostError as lost:
            ended.set_result(lost)
        return response

    app = Application()
    app.router.add_get('/', serve)
    async with TestServer(app) as server:
        reader, writer = await asyncio.open_connection('127.0.0.1', server.port)
        writer.write(b'GET / HTTP/1.1\r\nHost: g\r\n\r\n')
        async with asyncio.timeout(30):
            lost = await ended
        writer.close()
    assert isinstance(lost, CallerLostError)
    assert len(written) < FRAME_COUNT
    assert reader is not None
