"""Answers of an engine, whole, resumed and faulty."""

import asyncio
from datetime import timedelta

import aiohttp
import msgspec
import pytest

from baobabhinge_standins.engine.faults import EngineFaults
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.engine.tests.conftest import (
    FAST,
    PROMPT,
    run_engine,
)

ORDER = msgspec.convert(PROMPT, type=EngineRequest)
PATIENCE = 10


def read_text(body):
    return msgspec.json.decode(body)['choices'][0]['text']


def read_stream(body):
    events = body.decode().split('\n\n')
    return [event.removeprefix('data: ') for event in events if event]


@pytest.mark.parametrize('resume_from', [0, 1, 5, 6])
async def test_resumed_answer_continues_at_the_token(resume_from):
    async with run_engine() as engine:
        _, whole = await engine.ask(resume_from=resume_from)
        _, streamed = await engine.ask(resume_from=resume_from, stream=True)
    expected = [ORDER.generate_token(index) for index in range(resume_from, 6)]
    assert read_text(whole) == ''.join(expected)
    events = read_stream(streamed)
    assert events[-1] == '[DONE]'
    texts = [read_text(event) for event in events[:-1]]
    assert texts == expected


@pytest.mark.parametrize('stream', [False, True])
async def test_prefix_is_cached_for_the_next_request(stream):
    async with run_engine() as engine:
        await engine.ask(stream=stream)
        await engine.ask(stream=stream)
        runs = await engine.list_runs()
    assert [run.cached_blocks for run in runs] == [0, 3]
    assert [run.state for run in runs] == ['finished', 'finished']


@pytest.mark.parametrize('stream', [False, True])
async def test_wrong_request_id_befalls_as_many_as_asked(stream):
    async with run_engine() as engine:
        faults = EngineFaults(wrong_request_id=True, count=1)
        await engine.control.send('PUT', '-/faults', faults)
        _, first = await engine.ask(stream=stream)
        _, second = await engine.ask(stream=stream)
    assert b'"not-r1"' in first
    assert b'"not-r1"' not in second


@pytest.mark.parametrize(
    ('stream', 'tokens', 'generated'),
    [(True, 2, 2), (False, 2, 2), (False, 6, 6)],
)
async def test_reset_cuts_the_answer(stream, tokens, generated):
    async with run_engine() as engine:
        faults = EngineFaults(reset_after_tokens=tokens)
        await engine.control.send('PUT', '-/faults', faults)
        with pytest.raises(aiohttp.ClientError):
            await engine.ask(stream=stream)
        runs = await engine.list_runs()
    assert runs[0].tokens >= generated


async def test_stalled_stream_stays_open_until_the_caller_leaves():
    async with run_engine() as engine:
        faults = EngineFaults(stall_after_tokens=2)
        await engine.control.send('PUT', '-/faults', faults)
        async with engine.post(stream=True) as answer:
            piece = b''
            while piece.count(b'\n\n') < 2:
                piece += await asyncio.wait_for(
                    answer.content.readany(),
                    PATIENCE,
                )
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(answer.content.readany(), 0.1)
            assert (await engine.get('load'))['slots'] == 8
        runs = await engine.list_runs()
    assert runs[0].tokens == 2


@pytest.mark.parametrize(
    ('faults', 'at_least'),
    [
        (EngineFaults(slowdown=50), 0.3),
        (EngineFaults(late_seconds=0.3), 0.3),
    ],
)
async def test_slow_and_late_engines_still_answer_whole(faults, at_least):
    async with run_engine() as engine:
        await engine.control.send('PUT', '-/faults', faults)
        started = asyncio.get_running_loop().time()
        _, body = await engine.ask()
        assert asyncio.get_running_loop().time() - started >= at_least
    assert read_text(body) == ORDER.generate_all()


async def test_requests_that_wait_run_by_priority():
    one_slot = msgspec.structs.replace(FAST, slots=1)
    async with run_engine(speed=one_slot, load_lag=timedelta()) as engine:
        faults = EngineFaults(stall_after_tokens=1, count=1)
        await engine.control.send('PUT', '-/faults', faults)
        first = asyncio.create_task(engine.ask('first'))
        await wait_load(engine, running=1, waiting=0)
        others = []
        for number, priority in enumerate((5, 1, 3, 1), start=1):
            asked = engine.ask(f'{priority}-{number}', priority=priority)
            others.append(asyncio.create_task(asked))
            await wait_load(engine, running=1, waiting=number)
        first.cancel()
        answers = await asyncio.gather(*others)
        runs = await engine.list_runs()
    assert {status for status, _ in answers} == {200}
    ran = [run.request_id for run in runs]
    assert ran == ['first', '1-2', '1-4', '3-3', '5-1']
    assert runs[0].state == 'cancelled'


async def wait_load(engine, *, running, waiting):
    async with asyncio.timeout(PATIENCE):
        load = await engine.get('load')
        while (load['running'], load['waiting']) != (running, waiting):
            load = await engine.get('load')


async def test_journal_outlasts_the_process(tmp_path):
    path = tmp_path / 'engine.journal'
    async with run_engine(journal=path) as engine:
        await engine.ask('r1')
    async with run_engine(journal=path) as engine:
        await engine.ask('r2')
        runs = await engine.list_runs()
    assert [run.request_id for run in runs] == ['r1', 'r2']
