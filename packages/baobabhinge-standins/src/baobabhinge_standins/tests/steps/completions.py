"""Completions as a caller sends and checks them."""

import asyncio

import aiohttp
import msgspec

from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.fleet import Role

DONE = b'data: [DONE]'
DATA = b'data: '
ERROR = b'event: error'
CALL_LIMIT = aiohttp.ClientTimeout(total=60)


class Received(msgspec.Struct):
    """What a caller has received of one completion."""

    request_id: str = ''
    status: int = 0
    texts: list[str] = []
    ids: set[str] = set()
    error: dict = {}
    is_done: bool = False
    is_broken: bool = False
    is_unsent: bool = False


def ask(prompt, tokens, *, stream=True):
    """Return a request; its answer follows from the prompt alone."""
    return EngineRequest(
        model='llm',
        prompt=prompt,
        stream=stream,
        max_tokens=tokens,
    )


def list_expected(asked):
    """Return the tokens that an engine generates for ``asked``."""
    return [asked.generate_token(index) for index in range(asked.max_tokens)]


async def send(http, address, asked, on_token=None, headers=(), **options):
    """Send ``asked`` and return what came back, whole or not."""
    received = Received()
    try:
        async with http.post(
            f'http://{address}/v1/completions',
            data=msgspec.json.encode(asked),
            headers=dict(headers),
            timeout=CALL_LIMIT,
            **options,
        ) as answer:
            received.status = answer.status
            received.request_id = answer.headers.get('X-Request-Id', '')
            await _read(answer, received, on_token)
    except aiohttp.ClientError as failure:
        received.is_broken = True
        received.is_unsent = isinstance(failure, aiohttp.ClientConnectorError)
    return received


async def find_runs(running, prompt):
    """Return the engines that were given ``prompt``, and their runs of it."""
    return [
        (engine, run)
        for engine in running.roster.list_by(Role.engine)
        for run in await running.backends.read_engine_runs(engine)
        if run.prompt == prompt
    ]


async def set_engines(running, faults):
    """Set the faults of every engine."""
    for engine in running.roster.list_by(Role.engine):
        await running.backends.set_faults(engine, faults)


async def open_call(address, *headers, body=b''):
    """Begin a completion by hand and return both ends of its connection."""
    host, _, port = address.partition(':')
    lines = [
        'POST /v1/completions HTTP/1.1',
        'Host: gateway',
        *headers,
        '\r\n',
    ]
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write('\r\n'.join(lines).encode() + body)
    await writer.drain()
    return reader, writer


async def _read(answer, received, on_token):
    if answer.content_type != 'text/event-stream':
        _take_whole(await answer.json(content_type=None), received)
        return
    async for line in answer.content:
        _take_line(line.strip(), received)
        if on_token is not None and line.startswith(DATA):
            await on_token(received)


def _take_line(line, received):
    if line == ERROR:
        received.error = {'code': ''}
    elif line == DONE:
        received.is_done = True
    elif line.startswith(DATA):
        _take_chunk(msgspec.json.decode(line.removeprefix(DATA)), received)


def _take_whole(body, received):
    if 'choices' not in body:
        received.error = body
        return
    received.ids.add(body['id'])
    received.texts.append(body['choices'][0]['text'])
    received.is_done = True


def _take_chunk(chunk, received):
    if received.error:
        received.error = chunk
        return
    received.ids.add(chunk['id'])
    received.texts.append(chunk['choices'][0]['text'])
