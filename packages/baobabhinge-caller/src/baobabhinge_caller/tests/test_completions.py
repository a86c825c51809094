import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from baobabhinge_caller import (
    Completion,
    Message,
    OutcomeUnknownError,
    WrongAnswerError,
    open_client,
)

CHAT = Completion('llm', max_tokens=2, messages=(Message('user', 'hello'),))
PROMPT = Completion('llm', 'hello', 2)
DONE = b'data: [DONE]\n\n'
PATHS = {'/v1/completions': 'text', '/v1/chat/completions': 'message'}


class FakeGateway:
    """Gateway whose answers have two tokens and a settable request id."""

    def __init__(self):
        self.requests = []
        self.request_id = 'r-1'
        self.address = ''

    def add_to(self, app):
        app.router.add_get('/v1/entries', self.list_entries)
        for path in PATHS:
            app.router.add_post(path, self.answer)

    async def list_entries(self, request):
        entry = {'vm': 'g', 'region': 'west', 'address': self.address}
        return web.json_response({'ttl_seconds': 5, 'entries': [entry]})

    async def answer(self, request):
        request_body = await request.json()
        self.requests.append((request.path, request_body))
        body = self.render(request_body)
        return web.Response(body=body, headers={'X-Request-Id': 'r-1'})

    def render(self, request_body):
        if not request_body.get('stream'):
            return msgspec.json.encode(self.render_chunk(request_body, 'a b '))
        chunks = [
            self.render_chunk(request_body, text) for text in ('a ', 'b ')
        ]
        frames = map(msgspec.json.encode, chunks)
        return b''.join(b'data: %b\n\n' % frame for frame in frames) + DONE

    def render_chunk(self, request_body, text):
        kind = 'delta' if request_body.get('stream') else 'message'
        part = {kind: {'content': text}}
        if 'messages' not in request_body:
            part = {'text': text}
        return {'id': self.request_id, 'choices': [part]}


@pytest.fixture
async def gateway():
    gateway = FakeGateway()
    app = web.Application()
    gateway.add_to(app)
    async with TestServer(app) as server:
        gateway.address = f'{server.host}:{server.port}'
        yield gateway


async def read_stream(client, asked):
    tokens = [token async for token in client.stream_tokens(asked)]
    return [token.text for token in tokens], {
        token.request_id for token in tokens
    }


async def read_complete(client, asked):
    token = await client.complete(asked)
    return [token.text], {token.request_id}


@pytest.mark.parametrize('asked', [CHAT, PROMPT])
@pytest.mark.parametrize(
    ('read', 'texts'),
    [(read_stream, ['a ', 'b ']), (read_complete, ['a b '])],
)
async def test_texts_carry_the_request_id(gateway, asked, read, texts):
    async with open_client([gateway.address]) as client:
        assert await read(client, asked) == (texts, {'r-1'})
    assert len(gateway.requests) == 1
    path, request_body = gateway.requests[0]
    assert path.startswith('/v1/chat') is bool(asked.messages)
    assert request_body['max_tokens'] == 2
    assert ('messages' in request_body) is bool(asked.messages)


@pytest.mark.parametrize('asked', [CHAT, PROMPT])
@pytest.mark.parametrize('read', [read_stream, read_complete])
async def test_answer_to_another_request_is_withheld(gateway, asked, read):
    gateway.request_id = 'r-2'
    async with open_client([gateway.address]) as client:
        with pytest.raises(WrongAnswerError):
            await read(client, asked)
    assert len(gateway.requests) == 1


async def test_malformed_answer_has_an_unknown_outcome(gateway):
    gateway.request_id = 7
    async with open_client([gateway.address]) as client:
        with pytest.raises(OutcomeUnknownError):
            await client.complete(PROMPT)
