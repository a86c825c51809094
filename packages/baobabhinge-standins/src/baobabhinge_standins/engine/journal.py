"""What an engine has run."""

import msgspec
from aiohttp import web


class EngineRun(msgspec.Struct):
    """One request that the engine started."""

    request_id: str
    model: str
    prompt: str
    tokens: int = 0
    state: str = 'running'


class Journal:
    """Every run of one engine, in the order of their start."""

    __slots__ = ('_runs',)

    def __init__(self) -> None:
        """Start empty."""
        self._runs: list[EngineRun] = []

    def add(self, run: EngineRun) -> None:
        """Keep one more run."""
        self._runs.append(run)

    async def report(self, request: web.Request) -> web.Response:
        """Answer with every run."""
        return web.Response(
            body=msgspec.json.encode(self._runs),
            content_type='application/json',
        )
