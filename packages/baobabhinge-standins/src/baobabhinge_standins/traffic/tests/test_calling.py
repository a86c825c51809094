"""The table tells what the caller library told the caller."""

from datetime import timedelta

import msgspec
import pytest

from baobabhinge_caller import (
    Answer,
    NotRunError,
    OutcomeUnknownError,
    RefusedError,
    Token,
    WrongAnswerError,
)
from baobabhinge_caller.messages import Problem
from baobabhinge_coordination.clock import ManualClock
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.traffic import Request, Verdict
from baobabhinge_standins.traffic.calling import send

MILLISECOND = timedelta(milliseconds=1)
PROBLEM = Problem('a-code', 'an-outcome')
ORDER = {'model': 'llm', 'max_tokens': 3}
CHAT = ORDER | {'messages': [{'role': 'user', 'content': 'box 14'}]}
PROMPT = ORDER | {'prompt': 'box 14'}
CONFIRM = Request(
    'trade',
    'west',
    'POST',
    '/services/ledger/trades/9/confirm?table=4',
    b'issue 7',
    is_run_once=True,
    is_bound=True,
    workspace='desk',
)


class FakeClient:
    """A client that answers after a millisecond for each piece."""

    def __init__(self, clock, indexes=(), failure=None, answer=None):
        self.clock = clock
        self.indexes = indexes
        self.failure = failure
        self.answer = answer
        self.asked = []

    async def stream_tokens(self, asked):
        for text in self.generate(asked):
            self.clock.advance(MILLISECOND)
            yield Token(text, 'r1')
        self.fail()

    async def complete(self, asked):
        self.clock.advance(MILLISECOND)
        self.fail()
        return Token(''.join(self.generate(asked)), 'r1')

    async def run_once(self, asked):
        self.asked.append(asked)
        self.fail()
        return self.answer

    def generate(self, asked):
        self.asked.append(asked)
        plain = msgspec.to_builtins(asked.messages)
        order = EngineRequest('llm', asked.prompt)
        order.messages = msgspec.convert(
            plain,
            type=type(order).__annotations__['messages'],
        )
        return map(order.generate_token, self.indexes)

    def fail(self):
        if self.failure is not None:
            raise self.failure


def build(order, **changes):
    body = msgspec.json.encode(order | changes)
    return Request('appraisal', 'west', 'POST', '/v1', body, is_model=True)


@pytest.mark.parametrize('order', [CHAT, PROMPT])
@pytest.mark.parametrize('is_streamed', [True, False])
@pytest.mark.parametrize(
    ('indexes', 'expected'),
    [
        ((0, 1, 2), Verdict.answered),
        ((0, 1), Verdict.cut),
        ((0, 1, 1, 2), Verdict.cut),
        ((0, 2, 1), Verdict.cut),
        ((), Verdict.cut),
    ],
)
async def test_texts(order, is_streamed, indexes, expected):
    clock = ManualClock()
    client = FakeClient(clock, indexes)
    sample = await send(client, build(order, stream=is_streamed), clock)
    assert sample.verdict is expected
    assert client.asked[0].max_tokens == 3


async def test_times_to_the_first_token_and_to_the_end():
    clock = ManualClock()
    client = FakeClient(clock, (0, 1, 2))
    sample = await send(client, build(CHAT, stream=True), clock)
    assert (sample.first, sample.whole) == (MILLISECOND, 3 * MILLISECOND)
    assert sample.request_id == 'r1'


@pytest.mark.parametrize(
    ('failure', 'indexes', 'expected'),
    [
        (NotRunError(PROBLEM), (), Verdict.not_run),
        (RefusedError(PROBLEM), (), Verdict.not_run),
        (OutcomeUnknownError(PROBLEM), (), Verdict.unknown),
        (OutcomeUnknownError(PROBLEM), (0,), Verdict.broken),
        (WrongAnswerError(PROBLEM), (), Verdict.cut),
        (WrongAnswerError(PROBLEM), (0, 1), Verdict.cut),
    ],
)
async def test_failures_of_streams(failure, indexes, expected):
    clock = ManualClock()
    client = FakeClient(clock, indexes, failure)
    sample = await send(client, build(CHAT, stream=True), clock)
    assert sample.verdict is expected


WHOLE = b'{"path":"/trades/9/confirm","echo":"issue 7"}'
OTHER = b'{"path":"/trades/8/confirm","echo":"issue 7"}'


@pytest.mark.parametrize(
    ('answer', 'failure', 'expected'),
    [
        (Answer(200, WHOLE, 'r2'), None, Verdict.answered),
        (Answer(200, OTHER, 'r2'), None, Verdict.cut),
        (Answer(200, WHOLE[:-3], 'r2'), None, Verdict.cut),
        (Answer(500, WHOLE, 'r2'), None, Verdict.unknown),
        (None, NotRunError(PROBLEM), Verdict.not_run),
        (None, OutcomeUnknownError(PROBLEM, 'key'), Verdict.unknown),
    ],
)
async def test_confirmations(answer, failure, expected):
    clock = ManualClock()
    client = FakeClient(clock, (), failure, answer)
    sample = await send(client, CONFIRM, clock)
    assert sample.verdict is expected
    asked = client.asked[0]
    assert (asked.service, asked.path) == (
        'ledger',
        '/trades/9/confirm?table=4',
    )
    assert not asked.is_repeatable
    assert asked.terms.regions == ('west',)
    assert asked.terms.workspace == 'desk'
