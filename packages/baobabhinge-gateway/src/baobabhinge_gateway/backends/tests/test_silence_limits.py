import asyncio
from datetime import timedelta

import pytest

from baobabhinge_gateway.backends.silence_limits import (
    SilenceLimits,
    limit_silence,
)
from baobabhinge_gateway.errors import AnswerBrokenError

FIRST = 20
BETWEEN = 8
LIMITS = SilenceLimits(timedelta(seconds=FIRST), timedelta(seconds=BETWEEN))
END_MARK = b''
LOOP_TURNS = 20


class ScriptedAnswer:
    """Answer whose chunks the test sends, on a clock that it advances."""

    def __init__(self, monkeypatch):
        self.now = 0
        self.queue = asyncio.Queue()
        self.received = []
        self.may_continue = asyncio.Event()
        self.may_continue.set()
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, 'time', lambda: self.now)
        self.task = asyncio.create_task(self.read())

    async def generate(self):
        chunk = await self.queue.get()
        while chunk != END_MARK:
            yield chunk
            chunk = await self.queue.get()

    async def read(self):
        async for chunk in limit_silence(self.generate(), LIMITS):
            self.received.append(chunk)
            await self.may_continue.wait()

    async def advance_seconds(self, seconds):
        for _ in range(seconds):
            self.now += 1
            await self.run_loop_turns()

    async def run_loop_turns(self):
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    def assert_timed_out(self):
        assert self.task.done()
        assert isinstance(self.task.exception(), AnswerBrokenError)
        assert not self.task.cancelling()

    async def send_chunk(self, chunk):
        self.queue.put_nowait(chunk)
        await self.run_loop_turns()


@pytest.fixture
async def answer(monkeypatch):
    answer = ScriptedAnswer(monkeypatch)
    await answer.run_loop_turns()
    yield answer
    answer.task.cancel()


@pytest.mark.parametrize('waits', [(19,), (19, 7), (19, 7, 7, 7), (0, 7, 0)])
async def test_an_answer_within_the_limits_is_read_completely(answer, waits):
    for number, wait in enumerate(waits):
        await answer.advance_seconds(wait)
        await answer.send_chunk(b'%d' % number)
    await answer.send_chunk(END_MARK)
    await answer.task
    assert len(answer.received) == len(waits)


@pytest.mark.parametrize(
    'waits',
    [(FIRST,), (0, BETWEEN), (19, 7, BETWEEN), (0, 1, 1, 1, BETWEEN)],
)
async def test_an_answer_ends_when_a_chunk_exceeds_its_limit(answer, waits):
    *short, long = waits
    for wait in short:
        await answer.advance_seconds(wait)
        await answer.send_chunk(b'piece')
    await answer.advance_seconds(long - 1)
    assert not answer.task.done()
    await answer.advance_seconds(1)
    answer.assert_timed_out()


async def test_time_that_the_reader_takes_between_chunks_does_not_count(
    answer,
):
    await answer.send_chunk(b'first')
    answer.may_continue.clear()
    await answer.send_chunk(b'second')
    await answer.advance_seconds(BETWEEN * 3)
    answer.may_continue.set()
    await answer.advance_seconds(BETWEEN - 1)
    await answer.send_chunk(b'third')
    assert answer.received == [b'first', b'second', b'third']
    await answer.advance_seconds(BETWEEN)
    answer.assert_timed_out()


async def test_a_cancelled_reader_ends_as_cancelled(answer):
    await answer.send_chunk(b'first')
    await answer.advance_seconds(BETWEEN - 1)
    answer.task.cancel()
    await answer.advance_seconds(1)
    with pytest.raises(asyncio.CancelledError):
        await answer.task


async def test_a_chunk_arriving_as_the_limit_expires_is_read_or_times_out(
    answer,
):
    await answer.send_chunk(b'first')
    await answer.advance_seconds(BETWEEN - 1)
    answer.now += 1
    await answer.send_chunk(b'second')
    await answer.run_loop_turns()
    assert answer.task.done() or answer.received == [b'first', b'second']
    assert not answer.task.cancelling()
