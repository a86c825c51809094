"""A plain service that records each call that it runs."""

import asyncio

import msgspec
from aiohttp import web

from baobabhinge_standins.application.messages import ApplicationFaults, Run

REQUEST_ID_HEADER = 'X-Request-Id'


class ApplicationApp:
    """Answers every path and keeps the list of runs."""

    __slots__ = ('_faults', '_name', '_running', '_runs')

    def __init__(self, name: str) -> None:
        """Start without runs."""
        self._name = name
        self._runs: list[Run] = []
        self._running = 0
        self._faults = ApplicationFaults()

    def build(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get('/-/runs', self._report_runs)
        app.router.add_get('/-/load', self._report_load)
        app.router.add_put('/-/faults', self._set_faults)
        app.router.add_route('*', '/{path:.*}', self._run)
        return app

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.text()
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        self._runs.append(Run(request_id, request.method, request.path, body))
        self._running += 1
        try:
            await self._apply_faults(request)
        finally:
            self._running -= 1
        return web.json_response(
            {'served_by': self._name, 'path': request.path, 'echo': body},
            headers={REQUEST_ID_HEADER: request_id},
        )

    async def _apply_faults(self, request: web.Request) -> None:
        await asyncio.sleep(self._faults.slow_seconds)
        if self._faults.cut_after_effect and request.transport is not None:
            self._faults.cut_after_effect -= 1
            request.transport.abort()

    async def _report_runs(self, request: web.Request) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(self._runs),
            content_type='application/json',
        )

    async def _report_load(self, request: web.Request) -> web.Response:
        return web.json_response({'running': self._running, 'waiting': 0})

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self._faults = msgspec.json.decode(body, type=ApplicationFaults)
        return web.Response()
