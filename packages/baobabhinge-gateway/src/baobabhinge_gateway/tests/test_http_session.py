"""The client session of a gateway sends each request once."""

from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError, web
from aiohttp.test_utils import TestServer

from baobabhinge_gateway.platform import build_http_session


@asynccontextmanager
async def run_cutting_server():
    requests = []

    async def cut(request):
        requests.append(request.method)
        request.transport.abort()
        return web.Response()

    app = web.Application()
    app.router.add_route('*', '/', cut)
    async with TestServer(app) as server:
        yield server.make_url('/'), requests


@pytest.mark.parametrize('method', ['GET', 'PUT', 'DELETE', 'POST'])
async def test_cut_request_is_not_sent_again(method):
    async with (
        run_cutting_server() as (url, requests),
        build_http_session() as http,
    ):
        with pytest.raises(ClientError):
            await http.request(method, url)
    assert requests == [method]
