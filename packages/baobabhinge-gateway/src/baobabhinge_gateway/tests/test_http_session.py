"""The client session of a gateway sends each request only once.

HTTP libraries may resend a request when a connection is reset; this would run
calls twice.
"""

from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError, web
from aiohttp.test_utils import TestServer

from baobabhinge_gateway.platform import build_http_session


@asynccontextmanager
async def run_resetting_server():
    requests = []

    async def reset(request):
        requests.append(request.method)
        request.transport.abort()
        return web.Response()

    app = web.Application()
    app.router.add_route('*', '/', reset)
    async with TestServer(app) as server:
        yield server.make_url('/'), requests


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
async def test_request_is_not_resent_after_a_connection_reset(method):
    async with (
        run_resetting_server() as (url, requests),
        build_http_session() as http,
    ):
        with pytest.raises(ClientError):
            await http.request(method, url)
    assert requests == [method]
