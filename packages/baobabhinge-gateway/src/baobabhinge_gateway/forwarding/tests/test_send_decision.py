"""Decisions to send that expire before the request can be sent.

Guards against a process that was delayed between its decision and the send: the
server had asked for a pause, or had left, meanwhile.
"""

from contextlib import asynccontextmanager
from datetime import timedelta
from random import Random

import pytest
from aiohttp import web

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_gateway.connections.caller_connection import CallerConnection
from baobabhinge_gateway.deployment import BackendServer
from baobabhinge_gateway.forwarding.connector import build_strict_session
from baobabhinge_gateway.forwarding.exchange import (
    OutboundRequest,
    open_exchange,
)
from baobabhinge_gateway.forwarding.send_decision import (
    VALIDITY,
    ExpiredDecisionError,
    decide_now,
)
from baobabhinge_gateway.forwarding.server_statements import StatementTable

SECOND = timedelta(seconds=1)
SERVER = BackendServer('one', 'model', 'one:1', 'west-a')
HOST = '127.0.0.1'
CALLER = CallerConnection()


def is_valid(decision) -> bool:
    try:
        decision.check()
    except ExpiredDecisionError:
        return False
    return True


@pytest.mark.parametrize('server', [SERVER, None])
@pytest.mark.parametrize(
    ('elapsed', 'expected'),
    [(timedelta(), True), (VALIDITY, True), (2 * VALIDITY, False)],
)
def test_a_decision_expires(elapsed, expected, server):
    clock = ManualClock()
    statements = StatementTable(clock, Random(1))
    decision = decide_now(clock, statements, CALLER, server)
    clock.advance(elapsed)
    assert is_valid(decision) == expected


def test_a_pause_that_has_begun_ends_it():
    clock = ManualClock()
    statements = StatementTable(clock, Random(1))
    decision = decide_now(clock, statements, CALLER, SERVER)
    statements.pauses.record(SERVER, SECOND)
    assert not is_valid(decision)


@pytest.mark.parametrize('is_late', [True, False])
def test_the_end_of_a_leaving_server_ends_it(is_late):
    clock = ManualClock()
    statements = StatementTable(clock, Random(1), notice=SECOND)
    statements.departures.record(SERVER)
    clock.advance(SECOND - VALIDITY)
    decision = decide_now(clock, statements, CALLER, SERVER)
    if is_late:
        clock.advance(VALIDITY)
    assert is_valid(decision) != is_late


@asynccontextmanager
async def serve(arrivals):
    async def answer(request):
        arrivals.append(request.transport.get_extra_info('peername'))
        return web.Response(body=b'ok')

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    try:
        yield f'{HOST}:{port}'
    finally:
        await runner.cleanup()


async def test_a_withdrawn_request_is_not_sent_and_keeps_its_connection():
    arrivals = []
    clock = ManualClock()
    statements = StatementTable(clock, Random(1))
    decision = decide_now(clock, statements, CALLER)
    late = decide_now(clock, statements, CALLER)
    async with serve(arrivals) as address, build_strict_session() as http:
        for one in (decision, late, decision):
            if one is late:
                clock.advance(2 * VALIDITY)
            outbound = OutboundRequest(
                'GET', address, '/', (), b'', SECOND, one.check
            )
            try:
                async with open_exchange(http, outbound) as response:
                    await response.read()
            except ExpiredDecisionError:
                assert one is not decision or len(arrivals) == 1
        assert len(arrivals) == 1
        outbound = OutboundRequest('GET', address, '/', (), b'', SECOND)
        async with open_exchange(http, outbound) as response:
            assert await response.read() == b'ok'
        assert len(arrivals) == 2
        assert arrivals[0] == arrivals[1]
