"""Run-once keys of a gateway that was lost.

When the gateway that issued a batch is lost, each key of the batch fails. After
the first failure the client must not use the other keys of that batch.
"""

from contextlib import asynccontextmanager
from http import HTTPMethod

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from baobabhinge_caller import (
    NotRunError,
    OutcomeUnknownError,
    ServiceCall,
    open_client,
)

TRADE = ServiceCall('ledger', '/trades/1', HTTPMethod.POST, b'a')
KEY_CLOSED = ('not-run', 'not-run', NotRunError)
OUTCOME_UNKNOWN = ('outcome-unknown', 'unknown', OutcomeUnknownError)


class FakeGateway:
    """Gateway whose first batch of keys was issued by a lost gateway."""

    def __init__(self, code, outcome):
        self.problem = {'code': code, 'outcome': outcome, 'status': 503}
        self.batches = 0
        self.sent = []

    async def issue_keys(self, request):
        self.batches += 1
        keys = [f'{self.batches}-{number}' for number in range(3)]
        return web.json_response({'keys': keys, 'ttl_seconds': 300})

    async def run(self, request):
        key = request.headers['Baobabhinge-Key']
        self.sent.append(key)
        if key.startswith('1-'):
            return web.json_response(
                self.problem,
                status=503,
                content_type='application/problem+json',
            )
        return web.json_response({})


@asynccontextmanager
async def run_gateway(code, outcome):
    gateway = FakeGateway(code, outcome)
    app = web.Application()
    app.router.add_post('/v1/keys', gateway.issue_keys)
    app.router.add_post('/services/{path:.*}', gateway.run)
    async with (
        TestServer(app) as server,
        open_client([f'{server.host}:{server.port}']) as client,
    ):
        yield gateway, client


async def test_a_closed_key_is_not_sent_again():
    async with run_gateway(*KEY_CLOSED[:2]) as (gateway, client):
        with pytest.raises(NotRunError):
            await client.run_once(TRADE)
    assert gateway.sent == ['1-0']


@pytest.mark.parametrize(
    ('code', 'outcome', 'error'), [KEY_CLOSED, OUTCOME_UNKNOWN]
)
async def test_the_next_call_uses_a_key_of_another_batch(code, outcome, error):
    async with run_gateway(code, outcome) as (gateway, client):
        with pytest.raises(error):
            await client.run_once(TRADE)
        answer = await client.run_once(TRADE)
    assert answer.status == 200
    assert gateway.sent[-1] == '2-0'
