"""A request whose body stalls is refused with a code, and nothing runs."""

import asyncio

import msgspec
import pytest
from aiohttp.web import Response, TCPSite

from baobabhinge_gateway.callers.runner import GuardedRunner
from baobabhinge_gateway.calls.bodies import BODY_TIMEOUT, read_body
from baobabhinge_gateway.runonce import KeyRoutes
from baobabhinge_gateway.web_application import build_app

HEAD = b'POST %b HTTP/1.1\r\nHost: g\r\nContent-Length: 9\r\n\r\n{"c'


class BodyReader:
    """Path that reads bodies as the paths of completions and services do."""

    def __init__(self):
        self.runs = 0

    def add_to(self, app):
        app.router.add_post('/call', self.run)

    async def run(self, request):
        await read_body(request)
        self.runs += 1
        return Response()


@pytest.fixture
async def body_reader():
    return BodyReader()


@pytest.fixture
async def port(body_reader, monkeypatch):
    module = 'baobabhinge_gateway.calls.bodies.BODY_TIMEOUT'
    monkeypatch.setattr(module, BODY_TIMEOUT / 50)
    runner = GuardedRunner(build_app([body_reader, KeyRoutes(None, 'west')]))
    await runner.setup()
    await TCPSite(runner, '127.0.0.1', 0).start()
    yield runner.addresses[0][1]
    await runner.cleanup()


@pytest.mark.parametrize('path', [b'/call', b'/v1/keys'])
async def test_slow_body_is_refused(port, body_reader, path):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(HEAD % path)
    async with asyncio.timeout(20):
        head = await reader.readuntil(b'\r\n\r\n')
        _, _, rest = head.lower().partition(b'content-length: ')
        body = await reader.readexactly(int(rest.split(b'\r\n')[0]))
    writer.close()
    problem = msgspec.json.decode(body)
    assert (problem['code'], problem['outcome']) == ('slow-request', 'not-run')
    assert not body_reader.runs
