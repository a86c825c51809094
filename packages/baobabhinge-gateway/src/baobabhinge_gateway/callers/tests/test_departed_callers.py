"""Callers that leave while a gateway is late, or does not read them.

Guards against runs for callers that had closed their connections.
"""

import asyncio
import socket

import pytest
from aiohttp.web import Response, TCPSite

from baobabhinge_gateway.callers.runner import GuardedRunner
from baobabhinge_gateway.web_application import build_app

HOST = '127.0.0.1'
REQUEST = b'POST /call HTTP/1.1\r\nHost: g\r\nContent-Length: 4\r\n\r\nbody'
CALLERS = 10
AHEAD = 40
END_SECONDS = 0.5
WORK_SECONDS = 2


class Worker:
    """Path whose handler works for a while."""

    def __init__(self):
        self.begun = 0
        self.ended = 0

    def add_to(self, app):
        app.router.add_post('/call', self.run)

    async def run(self, request):
        self.begun += 1
        try:
            await asyncio.sleep(WORK_SECONDS)
        finally:
            self.ended += 1
        return Response()


@pytest.fixture
async def worker():
    return Worker()


@pytest.fixture
async def address(worker):
    runner = GuardedRunner(build_app([worker]))
    await runner.setup()
    await TCPSite(runner, HOST, 0).start()
    yield runner.addresses[0]
    await runner.cleanup()


async def test_a_late_loop_handles_nothing_for_callers_that_have_left(
    worker, address
):
    for _ in range(CALLERS):
        with socket.create_connection(address) as opened:
            opened.sendall(REQUEST)
    await asyncio.sleep(END_SECONDS)
    assert not worker.begun


@pytest.mark.parametrize('ahead', [0, AHEAD])
async def test_the_run_ends_although_requests_were_sent_ahead(
    ahead, worker, address
):
    with socket.create_connection(address) as opened:
        opened.sendall(REQUEST * (1 + ahead))
        await asyncio.sleep(END_SECONDS)
        assert (worker.begun, worker.ended) == (1, 0)
    await asyncio.sleep(END_SECONDS)
    assert (worker.begun, worker.ended) == (1, 1)
