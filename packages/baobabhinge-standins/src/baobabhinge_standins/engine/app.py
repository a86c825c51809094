"""HTTP face of the engine."""

import os
import signal
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from baobabhinge_standins.engine.batch import Batch, EngineSpeed
from baobabhinge_standins.engine.journal import EngineRun, Journal
from baobabhinge_standins.engine.messages import EngineRequest

REQUEST_ID_HEADER = 'X-Request-Id'
CRASH_MARK = '!!crash-engine!!'
TERMINAL_EVENT = b'data: [DONE]\n\n'
EVENT_STREAM = 'text/event-stream'


class EngineApp:
    """Answers completions and keeps the list of runs."""

    __slots__ = ('_batch', '_journal', '_name')

    def __init__(self, name: str, speed: EngineSpeed) -> None:
        """Start idle."""
        self._name = name
        self._batch = Batch(speed)
        self._journal = Journal()

    def build(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_post('/v1/chat/completions', self._complete)
        app.router.add_get('/-/runs', self._journal.report)
        app.router.add_get('/-/load', self._report_load)
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=EngineRequest)
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        run = EngineRun(request_id, order.model, order.join_prompt())
        self._journal.add(run)
        if CRASH_MARK in run.prompt:
            os.kill(os.getpid(), signal.SIGKILL)
        await self._batch.enter(run.prompt)
        try:
            return await self._answer(request, order, run)
        finally:
            self._batch.leave()
            run.state = _end_state(run, order)

    async def _answer(
        self,
        request: web.Request,
        order: EngineRequest,
        run: EngineRun,
    ) -> web.StreamResponse:
        if order.stream:
            return await self._stream(request, order, run)
        tokens = [token async for token in self._generate(order, run)]
        return web.json_response(
            _render_whole(run.request_id, order, ''.join(tokens)),
            headers={REQUEST_ID_HEADER: run.request_id},
        )

    async def _stream(
        self,
        request: web.Request,
        order: EngineRequest,
        run: EngineRun,
    ) -> web.StreamResponse:
        answer = web.StreamResponse(
            headers={
                'Content-Type': EVENT_STREAM,
                REQUEST_ID_HEADER: run.request_id,
            },
        )
        await answer.prepare(request)
        async for token in self._generate(order, run):
            await answer.write(_render_event(run.request_id, order, token))
        await answer.write(TERMINAL_EVENT)
        await answer.write_eof()
        return answer

    async def _generate(
        self,
        order: EngineRequest,
        run: EngineRun,
    ) -> AsyncIterator[str]:
        for index in range(order.resume_from, order.max_tokens):
            await self._batch.step()
            run.tokens += 1
            yield order.generate_token(index)

    async def _report_load(self, request: web.Request) -> web.Response:
        return web.json_response(
            {'running': self._batch.running, 'waiting': self._batch.waiting},
        )


def _end_state(run: EngineRun, order: EngineRequest) -> str:
    wanted = order.max_tokens - order.resume_from
    return 'finished' if run.tokens >= wanted else 'cancelled'


def _render_choice(order: EngineRequest, text: str) -> dict[str, object]:
    if not order.messages:
        return {'index': 0, 'text': text}
    kind = 'delta' if order.stream else 'message'
    return {'index': 0, kind: {'role': 'assistant', 'content': text}}


def _render_whole(
    request_id: str,
    order: EngineRequest,
    text: str,
) -> dict[str, object]:
    return {
        'id': request_id,
        'model': order.model,
        'choices': [_render_choice(order, text)],
        'usage': {'completion_tokens': order.max_tokens - order.resume_from},
    }


def _render_event(request_id: str, order: EngineRequest, token: str) -> bytes:
    chunk = {
        'id': request_id,
        'model': order.model,
        'choices': [_render_choice(order, token)],
    }
    return b'data: %b\n\n' % msgspec.json.encode(chunk)
