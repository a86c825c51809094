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
PATIENCE = SilenceLimits(timedelta(seconds=FIRST), timedelta(seconds=BETWEEN))
END = b''
TURNS = 20


class Answering:
    """Pieces that come when the test says so, on a clock that it advances."""

    def __init__(self, monkeypatch):
        self.now = 0
        self.coming = asyncio.Queue()
        self.taken = []
        self.is_busy = asyncio.Event()
        self.is_busy.set()
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, 'time', lambda: self.now)
        self.reading = asyncio.create_task(self.read())

    async def generate(self):
        chunk = await self.coming.get()
        while chunk != END:
            yield chunk
            chunk = await self.coming.get()

    async def read(self):
        async for chunk in limit_silence(self.generate(), PATIENCE):
            self.taken.append(chunk)
            await self.is_busy.wait()

    async def pass_seconds(self, seconds):
        for _ in range(seconds):
            self.now += 1
            await self.pass_turns()

    async def pass_turns(self):
        for _ in range(TURNS):
            await asyncio.sleep(0)

    def check_broken(self):
        assert self.reading.done()
        assert isinstance(self.reading.exception(), AnswerBrokenError)
        assert not self.reading.cancelling()

    async def tell(self, chunk):
        self.coming.put_nowait(chunk)
        await self.pass_turns()


@pytest.fixture
async def answering(monkeypatch):
    answering = Answering(monkeypatch)
    await answering.pass_turns()
    yield answering
    answering.reading.cancel()


@pytest.mark.parametrize('silences', [(19,), (19, 7), (19, 7, 7, 7), (0, 7, 0)])
async def test_an_answer_that_is_never_silent_for_long_is_read(
    answering, silences
):
    for number, silence in enumerate(silences):
        await answering.pass_seconds(silence)
        await answering.tell(b'%d' % number)
    await answering.tell(END)
    await answering.reading
    assert len(answering.taken) == len(silences)


@pytest.mark.parametrize(
    'silences',
    [(FIRST,), (0, BETWEEN), (19, 7, BETWEEN), (0, 1, 1, 1, BETWEEN)],
)
async def test_a_silence_ends_the_answer_when_it_gets_too_long(
    answering, silences
):
    *short, long = silences
    for silence in short:
        await answering.pass_seconds(silence)
        await answering.tell(b'piece')
    await answering.pass_seconds(long - 1)
    assert not answering.reading.done()
    await answering.pass_seconds(1)
    answering.check_broken()


async def test_what_the_reader_does_between_two_pieces_is_no_silence(
    answering,
):
    await answering.tell(b'first')
    answering.is_busy.clear()
    await answering.tell(b'second')
    await answering.pass_seconds(BETWEEN * 3)
    answering.is_busy.set()
    await answering.pass_seconds(BETWEEN - 1)
    await answering.tell(b'third')
    assert answering.taken == [b'first', b'second', b'third']
    await answering.pass_seconds(BETWEEN)
    answering.check_broken()


async def test_a_reader_that_is_cancelled_ends_as_cancelled(answering):
    await answering.tell(b'first')
    await answering.pass_seconds(BETWEEN - 1)
    answering.reading.cancel()
    await answering.pass_seconds(1)
    with pytest.raises(asyncio.CancelledError):
        await answering.reading


async def test_the_piece_and_the_end_of_patience_in_one_turn(answering):
    await answering.tell(b'first')
    await answering.pass_seconds(BETWEEN - 1)
    answering.now += 1
    await answering.tell(b'second')
    await answering.pass_turns()
    assert answering.reading.done() or answering.taken == [b'first', b'second']
    assert not answering.reading.cancelling()
