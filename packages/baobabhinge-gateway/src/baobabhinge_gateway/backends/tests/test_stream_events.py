import asyncio
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhinge_gateway.backends.event_splitting import MAX_EVENT_BYTES
from baobabhinge_gateway.backends.stream_events import check_events
from baobabhinge_gateway.errors import AnswerBrokenError, CallError

FIRST = b'data: {"id":"r1","choices":[{"text":"one"}]}\n\n'
CHAT = b'data: {"id":"r1","choices":[{"delta":{"content":"two"}}]}\n\n'
EMPTY = b'data: {"id":"r1","choices":[{"delta":{"role":"assistant"}}]}\n\n'
OTHER = b'data: {"id":"r2","choices":[{"text":"x"}]}\n\n'
ERROR_EVENT = (
    b'event: error\ndata: {"type":"t","title":"t","status":503,"detail":"d",'
    b'"code":"overloaded","outcome":"not-run"}\n\n'
)
DONE = b'data: [DONE]\n\n'
PING = b': ping\n\n'
COMPLETE = b''.join((FIRST, PING, CHAT, EMPTY, DONE))


async def read(chunks):
    async def iterate():
        for chunk in chunks:
            yield chunk

    return [event async for event in check_events(iterate(), 'r1')]


@given(st.sets(st.integers(1, len(COMPLETE) - 1)))
def test_events_do_not_depend_on_the_chunks(cuts):
    edges = [0, *sorted(cuts), len(COMPLETE)]
    chunks = [COMPLETE[start:end] for start, end in pairwise(edges)]
    events = asyncio.run(read(chunks))
    assert [event.frame for event in events] == [FIRST, CHAT, EMPTY, DONE]
    assert [event.has_text for event in events] == [True, True, False, False]


@pytest.mark.parametrize(
    ('body', 'code'),
    [
        (FIRST, 'answer-broken'),
        (FIRST + OTHER + DONE, 'answer-broken'),
        (FIRST + CHAT[:-9], 'answer-broken'),
        (b'data: {}\n\n', 'answer-broken'),
        (b'a' * (MAX_EVENT_BYTES + 1), 'answer-broken'),
        (FIRST + ERROR_EVENT + DONE, 'overloaded'),
        (b'event: error\ndata: {}\n\n', 'answer-broken'),
    ],
)
async def test_a_faulty_stream_raises_its_error(body, code):
    with pytest.raises(CallError) as broken:
        await read([body])
    assert broken.value.code == code


async def test_bytes_after_the_terminal_event_are_dropped():
    events = await read([FIRST + DONE + OTHER])
    assert [event.frame for event in events] == [FIRST, DONE]


async def test_an_error_event_of_another_gateway_keeps_its_outcome():
    with pytest.raises(CallError) as refused:
        await read([ERROR_EVENT])
    assert not isinstance(refused.value, AnswerBrokenError)
    assert refused.value.outcome == 'not-run'
