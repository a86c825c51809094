"""Each request is sent once; the library under the clients repeats none."""

from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from baobabhinge_caller import (
    OutcomeUnknownError,
    ServiceCall,
    open_client,
)
from baobabhinge_coordination.store import StoreAnswerLostError
from baobabhinge_gateway.backends import ExchangeRequest, open_exchange
from baobabhinge_gateway.errors import AnswerTruncatedError
from baobabhinge_gateway.platform import build_http_session
from baobabhinge_operator.connections import open_store

PATIENCE = timedelta(seconds=20)
METHODS = ('GET', 'PUT', 'DELETE', 'POST')
FOUND = 'http://127.0.0.1:9/elsewhere'


@asynccontextmanager
async def run_server(answer):
    """Yield the address of a server, and the methods that reached it."""
    received = []

    async def receive(request):
        if request.path != '/v1/entries':
            received.append(request.method)
        await request.read()
        return answer(request)

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', receive)
    async with TestServer(app) as server:
        yield f'{server.host}:{server.port}', received


def cut(request):
    request.transport.abort()
    return web.Response()


def send_elsewhere(request):
    return web.Response(status=307, headers={'Location': FOUND})


@pytest.mark.parametrize('method', METHODS)
async def test_gateways_send_a_call_once(method):
    async with AsyncExitStack() as stack:
        address, received = await stack.enter_async_context(run_server(cut))
        http = await stack.enter_async_context(build_http_session())
        outbound = ExchangeRequest(
            method, f'http://{address}/', (), b'', PATIENCE
        )
        with pytest.raises(AnswerTruncatedError):
            await stack.enter_async_context(open_exchange(http, outbound))
    assert received == [method]


@pytest.mark.parametrize('method', METHODS)
async def test_programs_send_a_call_once(method):
    async with (
        run_server(cut) as (address, received),
        open_client([address]) as client,
    ):
        with pytest.raises(OutcomeUnknownError):
            await client.call(ServiceCall('ledger', '/a', method, b'a'))
    assert received == [method]


@pytest.mark.parametrize('method', METHODS)
async def test_programs_are_given_a_redirect_as_it_is(method):
    async with (
        run_server(send_elsewhere) as (address, received),
        open_client([address]) as client,
    ):
        answer = await client.call(ServiceCall('ledger', '/a', method, b'a'))
    assert answer.status == 307
    assert received == [method]


async def test_operators_send_a_write_once():
    async with (
        run_server(cut) as (address, received),
        open_store(f'http://{address}') as store,
    ):
        with pytest.raises(StoreAnswerLostError):
            await store.swap('a', b'', 0)
    assert received == ['PUT']
