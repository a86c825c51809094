import asyncio
import gzip

import aiohttp
import msgspec
import pytest
import structlog
from aiohttp.web import Response, TCPSite

from baobabhinge_gateway.callers.connections import FIRST_REQUEST_TIMEOUT
from baobabhinge_gateway.callers.request_checks import check_sizes
from baobabhinge_gateway.callers.runner import GuardedRunner
from baobabhinge_gateway.web_application import build_app

MODULE = 'baobabhinge_gateway.callers.connections'


class Echo:
    """Path that returns the request body and counts the requests run."""

    def __init__(self):
        self.runs = 0

    def add_to(self, app):
        app.router.add_post('/echo', self.echo)

    async def echo(self, request):
        check_sizes(request.raw_path, request.raw_headers)
        body = await request.read()
        self.runs += 1
        return Response(body=body)


@pytest.fixture
async def echo():
    return Echo()


@pytest.fixture
async def port(echo):
    runner = GuardedRunner(build_app([echo]))
    await runner.setup()
    site = TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    yield runner.addresses[0][1]
    await runner.cleanup()


async def exchange(port, sent):
    """Send raw bytes; return the problem after checking its identifier."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    async with asyncio.timeout(20):
        head = await reader.readuntil(b'\r\n\r\n')
        _, _, rest = head.lower().partition(b'content-length: ')
        body = await reader.readexactly(int(rest.split(b'\r\n')[0]))
    writer.close()
    assert b'application/problem+json' in head
    problem = msgspec.json.decode(body)
    headers = head.decode().split('\r\n')
    assert problem['request_id']
    assert f'X-Request-Id: {problem["request_id"]}' in headers
    return problem


def post(headers=b'', body=b''):
    length = b'Content-Length: %d\r\n' % len(body)
    return b'POST /echo HTTP/1.1\r\nHost: g\r\n%b%b\r\n%b' % (
        headers,
        length,
        body,
    )


@pytest.mark.parametrize(
    ('sent', 'code'),
    [
        (post(headers=b'X-Long: %b\r\n' % (b'a' * 9000)), 'headers-too-large'),
        (post(headers=b'X: %b\r\n' % (b'a' * 300) * 120), 'headers-too-large'),
        (post(headers=b'X: 1\r\n' * 3000), 'malformed-request'),
        (b'POST /%b HTTP/1.1\r\n\r\n' % (b'a' * 9000), 'headers-too-large'),
        (post(body=b'a' * (5 << 20)), 'body-too-large'),
        (b'GET /echo HTTP/1.1\r\nHost: g\r\n\r\n', 'method-not-allowed'),
        (b'GET /none HTTP/1.1\r\nHost: g\r\n\r\n', 'no-such-path'),
        (b'not http at all\r\n\r\n', 'malformed-request'),
        (post(headers=b'X y: 1\r\n'), 'malformed-request'),
        (post(headers=b'Transfer-Encoding: gzip\r\n'), 'malformed-request'),
        (post(headers=b'Expect: 200-ok\r\n'), 'malformed-request'),
        (
            b'GET /none HTTP/1.1\r\nHost: g\r\nExpect: 200-ok\r\n\r\n',
            'malformed-request',
        ),
        (b'GET http://[x/y HTTP/1.1\r\nHost: g\r\n\r\n', 'malformed-request'),
        (b'GET /none HTTP/9.9\r\nHost: g\r\n\r\n', 'malformed-request'),
    ],
)
async def test_refusals_have_a_code_and_nothing_runs(port, echo, sent, code):
    problem = await exchange(port, sent)
    assert problem['code'] == code
    assert problem['outcome'] == 'not-run'
    assert not echo.runs


@pytest.mark.parametrize(
    'body',
    [gzip.compress(b'text', mtime=0), b'no gzip at all'],
)
async def test_an_encoded_body_is_not_decoded(port, body):
    headers = {'Content-Encoding': 'gzip'}
    async with (
        aiohttp.ClientSession() as http,
        http.post(
            f'http://127.0.0.1:{port}/echo',
            data=body,
            headers=headers,
        ) as answer,
    ):
        assert answer.status == 200
        assert await answer.read() == body


async def test_refused_connections_get_different_retry_delays(port):
    problems = [await exchange(port, b'not http\r\n\r\n') for _ in range(40)]
    assert {each['retry_after_seconds'] for each in problems} == {2, 3}


async def test_the_log_of_a_refusal_has_no_text_of_the_request(port):
    with structlog.testing.capture_logs() as lines:
        problem = await exchange(port, b'POST /secret nonsense\r\n\r\n')
    assert lines == [
        {
            'event': 'connection-refused',
            'log_level': 'info',
            'code': 'malformed-request',
            'request_id': problem['request_id'],
        },
    ]


async def test_a_connection_without_complete_request_head_is_refused(
    monkeypatch, port
):
    monkeypatch.setattr(
        f'{MODULE}.FIRST_REQUEST_TIMEOUT', FIRST_REQUEST_TIMEOUT / 50
    )
    problem = await exchange(port, b'POST /echo HTTP/1.1\r\nHo')
    assert problem['code'] == 'slow-request'


async def test_a_connection_over_the_limit_is_refused(monkeypatch, port):
    monkeypatch.setattr(f'{MODULE}.MAX_CONNECTIONS', 1)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(post(body=b'first'))
    async with asyncio.timeout(20):
        await reader.readuntil(b'first')
    problem = await exchange(port, post())
    assert problem['code'] == 'too-many-connections'
    writer.close()
