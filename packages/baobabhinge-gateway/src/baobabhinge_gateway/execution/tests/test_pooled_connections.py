"""Retries while the backend server resets pooled connections."""

import asyncio
import contextlib
from datetime import timedelta

import pytest

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_gateway.calls import Call, CallTerms, Hop, HopList
from baobabhinge_gateway.errors import AnswerTruncatedError
from baobabhinge_gateway.routing import (
    Candidate,
    CandidateDispatcher,
    RoutingTarget,
)
from baobabhinge_platform.machines import Role, Vm
from baobabhinge_platform.sessions import build_session

HOST = '127.0.0.1'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


async def answer_first(reader, writer):
    """Answer the first request of a connection and reset it on the second."""
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(ANSWER)
        await reader.readuntil(b'\r\n\r\n')
    writer.transport.abort()


class NullTracker:
    """Tracker that records nothing."""

    def __init__(self):
        self.workspace_calls = self

    def track(self, *_):
        return contextlib.nullcontext(self)

    def observe(self, chunks):
        return chunks


def build_call():
    return Call(
        request_id='r1',
        service=None,
        method='GET',
        path='/',
        headers=(),
        body=b'',
        terms=CallTerms(timedelta(hours=1)),
        hops=HopList((Hop('w1', 'west'),)),
    )


async def send_call(dispatcher, candidate, *, is_retry):
    opened = dispatcher.open_answer(
        build_call(),
        (candidate,),
        is_retry=is_retry,
    )
    async with opened as answer:
        return b''.join([chunk async for chunk in answer.chunks])


class StoppedClock(SystemClock):
    """Clock that stands still, so that no deadline passes."""

    def read_monotonic(self):
        return timedelta()


@pytest.mark.parametrize(
    ('is_retry', 'expected'),
    [
        (False, AnswerTruncatedError),
        (True, b'ok'),
    ],
)
async def test_a_retry_opens_a_new_connection(is_retry, expected):
    """A pooled connection may be reset, which failed the first attempt."""
    server = await asyncio.start_server(answer_first, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    vm = Vm('e1', f'{HOST}:{port}', 'west', 'west-a', Role.engine)
    candidate = Candidate(RoutingTarget(vm, False, 0))
    async with server, build_session() as http:
        dispatcher = CandidateDispatcher(http, StoppedClock(), NullTracker())
        assert await send_call(dispatcher, candidate, is_retry=False) == b'ok'
        if isinstance(expected, bytes):
            body = await send_call(dispatcher, candidate, is_retry=is_retry)
            assert body == expected
            return
        with pytest.raises(expected):
            await send_call(dispatcher, candidate, is_retry=is_retry)
