"""A part of an answer, or another one's, is never judged to be whole."""

import msgspec
import pytest

from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.engine.rendering import (
    TERMINAL_EVENT,
    render_event,
    render_whole,
)
from baobabhinge_standins.traffic import Request, Verdict, judge
from baobabhinge_standins.traffic.replies import Reply

BODY = {'model': 'llm', 'prompt': 'box 14', 'max_tokens': 3}


def build(**changes):
    body = msgspec.json.encode(BODY | changes)
    order = msgspec.json.decode(body, type=EngineRequest)
    path = '/v1/completions'
    return Request('appraisal', 'west', 'POST', path, body, True), order


def render_stream(order, indexes, request_id='r1', end=TERMINAL_EVENT):
    events = [
        render_event(request_id, order, order.generate_token(index))
        for index in indexes
    ]
    return b''.join([*events, end])


ERROR_EVENT = b'event: error\ndata: {"outcome":"unknown"}\n\n'


@pytest.mark.parametrize(
    ('indexes', 'named', 'end', 'is_ended', 'expected'),
    [
        ([0, 1, 2], 'r1', TERMINAL_EVENT, True, Verdict.answered),
        ([0, 1], 'r1', TERMINAL_EVENT, True, Verdict.cut),
        ([0, 1, 1, 2], 'r1', TERMINAL_EVENT, True, Verdict.cut),
        ([0, 2, 1], 'r1', TERMINAL_EVENT, True, Verdict.cut),
        ([], 'r1', TERMINAL_EVENT, True, Verdict.cut),
        ([0, 1, 2], 'r2', TERMINAL_EVENT, True, Verdict.cut),
        ([0, 1, 2], 'r1', b'', True, Verdict.cut),
        ([0, 1, 2], 'r1', b'', False, Verdict.broken),
        ([0], 'r1', ERROR_EVENT, True, Verdict.broken),
        ([0], 'r1', b'data: {"id', True, Verdict.cut),
    ],
)
def test_streamed(indexes, named, end, is_ended, expected):
    request, order = build(stream=True)
    body = render_stream(order, indexes, named, end)
    assert judge(request, Reply(200, body, 'r1', is_ended)) is expected


@pytest.mark.parametrize(
    ('asked', 'named', 'kept', 'expected'),
    [
        ('box 14', 'r1', 9999, Verdict.answered),
        ('box 15', 'r1', 9999, Verdict.cut),
        ('box 14', 'r2', 9999, Verdict.cut),
        ('box 14', 'r1', 20, Verdict.cut),
    ],
)
def test_whole(asked, named, kept, expected):
    request, _ = build()
    _, order = build(prompt=asked)
    body = render_whole(named, order, order.generate_all())[:kept]
    assert judge(request, Reply(200, body, 'r1', True)) is expected


@pytest.mark.parametrize(
    ('path', 'echo', 'expected'),
    [
        ('/trades/7/confirm', '{"yen":9}', Verdict.answered),
        ('/trades/8/confirm', '{"yen":9}', Verdict.cut),
        ('/trades/7/confirm', '{"yen":8}', Verdict.cut),
    ],
)
def test_plain(path, echo, expected):
    request = Request(
        'trade',
        'west',
        'POST',
        '/services/ledger/trades/7/confirm?a=1',
        b'{"yen":9}',
    )
    body = msgspec.json.encode({'path': path, 'echo': echo})
    assert judge(request, Reply(200, body, 'r1', True)) is expected


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (503, b'{"outcome":"not-run"}', Verdict.not_run),
        (502, b'{"outcome":"unknown"}', Verdict.unknown),
        (500, b'', Verdict.unknown),
        (404, b'{}', Verdict.unknown),
        (0, b'', Verdict.unknown),
    ],
)
def test_refused(status, body, expected):
    request, _ = build()
    assert judge(request, Reply(status, body, 'r1', True)) is expected
