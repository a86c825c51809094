"""Child processes that end with their owner."""

import asyncio
import os
import sys
from asyncio.subprocess import Process
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from pathlib import Path

STOP_PATIENCE = timedelta(seconds=10)


class ProcessGroup:
    """Children by name; each writes its output to a file.

    Parameters
    ----------
    folder : Path
        Folder of the output files.
    """

    __slots__ = ('_children', '_folder')

    def __init__(self, folder: Path) -> None:
        """Start without children."""
        self._folder = folder
        self._children: dict[str, Process] = {}

    async def start(self, name: str, module: str, *options: str) -> Process:
        """Run ``python -m module options`` as the child called ``name``."""
        with (self._folder / f'{name}.log').open('ab') as output:
            self._children[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *options,
                stdout=output,
                stderr=output,
                env=os.environ | {'PYTHONUNBUFFERED': '1'},
            )
        return self._children[name]

    def get(self, name: str) -> Process:
        """Return the child called ``name``."""
        return self._children[name]

    async def stop_all(self) -> None:
        """Ask every child to stop, then kill those that remain."""
        running = [
            process
            for process in self._children.values()
            if process.returncode is None
        ]
        for process in running:
            process.terminate()
        await asyncio.gather(*map(_wait_or_kill, running))


async def _wait_or_kill(child: Process) -> None:
    try:
        await asyncio.wait_for(child.wait(), STOP_PATIENCE.total_seconds())
    except TimeoutError:
        child.kill()
        await child.wait()


@asynccontextmanager
async def own_processes(folder: Path) -> AsyncIterator[ProcessGroup]:
    """Yield a group whose children are stopped at the end."""
    group = ProcessGroup(folder)
    try:
        yield group
    finally:
        await group.stop_all()
