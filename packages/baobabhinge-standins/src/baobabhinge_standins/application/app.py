"""A plain service that records each call that it runs."""

import asyncio

import msgspec
from aiohttp import web

from baobabhinge_standins.application.messages import ApplicationFaults, Run
from baobabhinge_standins.journal import Journal
from baobabhinge_standins.load import Load

REQUEST_ID_HEADER = 'X-Request-Id'
SLOTS = 32


class ApplicationApp:
    """Answer every path and keep the list of runs.

    Parameters
    ----------
    name : str
        Name of the vm, which each answer gives.
    journal : Journal
        Runs of this worker.
    """

    __slots__ = ('_changed', '_faults', '_journal', '_name', '_running')

    def __init__(self, name: str, journal: Journal[Run]) -> None:
        """Start without faults."""
        self._name = name
        self._journal = journal
        self._running = 0
        self._faults = ApplicationFaults()
        self._changed = asyncio.Event()

    def add_to(self, app: web.Application) -> None:
        """Add the paths."""
        app.router.add_get('/-/runs', self._journal.report)
        app.router.add_put('/-/faults', self._set_faults)
        app.router.add_route('*', '/{path:.*}', self._run)

    def measure(self) -> Load:
        """Return the present load."""
        return Load(self._running, 0, SLOTS, self._faults.draining)

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.text()
        await asyncio.sleep(self._faults.late_seconds)
        request_id = request.headers.get(REQUEST_ID_HEADER, '')
        self._journal.add(Run(request_id, request.method, request.path, body))
        self._running += 1
        try:
            await self._apply_faults(request)
        finally:
            self._running -= 1
        if self._faults.wrong_request_id:
            request_id = f'not-{request_id}'
        return web.json_response(
            {'served_by': self._name, 'path': request.path, 'echo': body},
            headers={REQUEST_ID_HEADER: request_id},
        )

    async def _apply_faults(self, request: web.Request) -> None:
        if self._faults.holds:
            await self._changed.wait()
        await asyncio.sleep(self._faults.slow_seconds)
        if self._faults.cut_after_effect and request.transport is not None:
            self._faults.cut_after_effect -= 1
            request.transport.abort()

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self._faults = msgspec.json.decode(body, type=ApplicationFaults)
        self._changed.set()
        self._changed = asyncio.Event()
        return web.Response()
