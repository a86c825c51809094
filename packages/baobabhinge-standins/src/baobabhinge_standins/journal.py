"""Journals of backend servers, which outlast the process."""

from pathlib import Path
from typing import Generic, TypeVar

import msgspec
from aiohttp import web

RunT = TypeVar('RunT', bound=msgspec.Struct)


class Journal(Generic[RunT]):
    """What one backend server has run, in the order of the starts.

    Parameters
    ----------
    kind : type
        Type of a run.
    path : Path, optional
        File that keeps the runs over the end of the process. Runs that are
        in it already come first.
    """

    __slots__ = ('_output', '_runs')

    def __init__(self, kind: type[RunT], path: Path | None = None) -> None:
        """Read what an earlier process has left."""
        self._runs: list[RunT] = []
        self._output = None
        if path is not None:
            path.touch()
            decoder = msgspec.json.Decoder(kind)
            self._runs = decoder.decode_lines(path.read_bytes())
            self._output = path.open('ab', buffering=0)

    def add(self, run: RunT) -> None:
        """Keep one more run; it is written before it starts."""
        self._runs.append(run)
        if self._output is not None:
            self._output.write(b'%b\n' % msgspec.json.encode(run))

    async def report(self, request: web.Request) -> web.Response:
        """Answer with every run."""
        return web.Response(
            body=msgspec.json.encode(self._runs),
            content_type='application/json',
        )
