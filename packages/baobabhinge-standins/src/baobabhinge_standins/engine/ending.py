"""End of an engine under a request that crashes it."""

import asyncio
import os
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from aiohttp import web

from baobabhinge_standins.engine.faults import EngineFaults

FLUSH_TIME = timedelta(milliseconds=20)


class Ending:
    """Breaks every exchange, and ends the process then or a while later.

    Until the end the port accepts connections; no completion is run.
    """

    __slots__ = ('_requests', '_task')

    def __init__(self) -> None:
        """Hold nothing yet."""
        self._requests: list[web.Request] = []
        self._task: asyncio.Task[None] | None = None

    @contextmanager
    def hold(self, request: web.Request) -> Iterator[None]:
        """Break the exchange of ``request`` if the engine ends meanwhile."""
        if self._task is not None:
            reset_connection(request)
        self._requests.append(request)
        try:
            yield
        finally:
            self._requests.remove(request)

    async def crash(self, faults: EngineFaults) -> None:
        """End the process; this does not return."""
        if not faults.ending_seconds:
            _kill_self()
        if self._task is None:
            self._task = asyncio.create_task(self._end(faults))
        await asyncio.Event().wait()

    async def _end(self, faults: EngineFaults) -> None:
        for request in self._requests:
            reset_connection(request)
        await asyncio.sleep(FLUSH_TIME.total_seconds())
        if faults.ends_in_silence:
            _block(faults.ending_seconds)
        await asyncio.sleep(faults.ending_seconds)
        _kill_self()


def _block(seconds: float) -> None:
    time.sleep(seconds)
    _kill_self()


def _kill_self() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def reset_connection(request: web.Request) -> None:
    """Break the exchange of one request."""
    if request.transport is not None:
        request.transport.abort()
