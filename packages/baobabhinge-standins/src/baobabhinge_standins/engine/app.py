"""HTTP interface of the engine."""

from collections.abc import AsyncIterator
from http import HTTPStatus

import msgspec
from aiohttp import web

from baobabhinge_standins.engine.ending import reset_connection
from baobabhinge_standins.engine.faults import EngineFaults, FaultDesk
from baobabhinge_standins.engine.journal import EngineRun
from baobabhinge_standins.engine.messages import EngineRequest
from baobabhinge_standins.engine.models import ModelShelf
from baobabhinge_standins.engine.rendering import (
    TERMINAL_EVENT,
    render_event,
    render_whole,
)
from baobabhinge_standins.engine.running import Runner

REQUEST_ID_HEADER = 'X-Request-Id'
EVENT_STREAM = 'text/event-stream'
JSON = 'application/json'


class CompletionRoutes:
    """Handlers of completions.

    Parameters
    ----------
    shelf : ModelShelf
        Models that can be run.
    faults : FaultDesk
        Present faults.
    runner : Runner
        What runs the requests.
    """

    __slots__ = ('_faults', '_runner', '_shelf')

    def __init__(
        self,
        shelf: ModelShelf,
        faults: FaultDesk,
        runner: Runner,
    ) -> None:
        """Keep the parts."""
        self._shelf = shelf
        self._faults = faults
        self._runner = runner

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_post('/v1/chat/completions', self._complete)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        order = msgspec.json.decode(await request.read(), type=EngineRequest)
        model = self._shelf.find(order.model)
        if model is None:
            return web.json_response(
                {'error': {'code': 'model-not-loaded'}},
                status=HTTPStatus.NOT_FOUND,
            )
        with self._runner.ending.hold(request):
            return await self._run(request, order, model.version)

    async def _run(
        self,
        request: web.Request,
        order: EngineRequest,
        version: str,
    ) -> web.StreamResponse:
        faults = self._faults.draw()
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        async with self._runner.enter(
            order, request_id, faults, version
        ) as run:
            answer = _Answer(request, order, run, faults)
            tokens = self._runner.generate(order, run, faults)
            if order.stream:
                return await answer.write_stream(tokens)
            return await answer.write_whole(tokens)


class _Answer:
    __slots__ = ('_faults', '_order', '_request', '_request_id', '_run')

    def __init__(
        self,
        request: web.Request,
        order: EngineRequest,
        run: EngineRun,
        faults: EngineFaults,
    ) -> None:
        self._request = request
        self._order = order
        self._run = run
        self._faults = faults
        self._request_id = run.request_id
        if faults.wrong_request_id:
            self._request_id = f'not-{run.request_id}'

    async def write_whole(self, tokens: AsyncIterator[str]) -> web.Response:
        text = ''
        async for token in tokens:
            self._reset_if_due()
            text += token
        self._reset_if_due()
        return web.Response(
            body=render_whole(self._request_id, self._order, text),
            content_type=JSON,
            headers={REQUEST_ID_HEADER: self._request_id},
        )

    async def write_stream(
        self,
        tokens: AsyncIterator[str],
    ) -> web.StreamResponse:
        answer = web.StreamResponse(
            headers={
                'Content-Type': EVENT_STREAM,
                REQUEST_ID_HEADER: self._request_id,
            },
        )
        await answer.prepare(self._request)
        async for token in tokens:
            event = render_event(self._request_id, self._order, token)
            await answer.write(event)
            self._reset_if_due()
        await answer.write(TERMINAL_EVENT)
        await answer.write_eof()
        return answer

    def _reset_if_due(self) -> None:
        if self._run.tokens == self._faults.reset_after_tokens:
            reset_connection(self._request)
