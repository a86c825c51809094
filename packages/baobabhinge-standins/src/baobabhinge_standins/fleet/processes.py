"""Child processes that end with their owner."""

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from baobabhinge_standins.fleet.children import Child, CommandLine


class ProcessGroup:
    """Children by name; each writes its output to a file.

    Parameters
    ----------
    folder : Path
        Folder of the output files, ``<name>.log``.

    Attributes
    ----------
    folder : Path
        The same folder.
    """

    __slots__ = ('_children', 'folder')

    def __init__(self, folder: Path) -> None:
        """Start without children."""
        self.folder = folder
        self._children: dict[str, Child] = {}

    async def start(self, name: str, module: str, *options: str) -> Child:
        """Run ``python -m module options`` as the child called ``name``."""
        line = CommandLine(module, options)
        with (self.folder / f'{name}.log').open('ab') as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *options,
                stdout=output,
                stderr=output,
                env=os.environ | {'PYTHONUNBUFFERED': '1'},
                start_new_session=True,
            )
        self._children[name] = Child(process, line)
        return self._children[name]

    def get(self, name: str) -> Child:
        """Return the child called ``name``."""
        return self._children[name]

    def read_last_line(self, name: str) -> str:
        """Return the last line that the child called ``name`` wrote."""
        lines = (self.folder / f'{name}.log').read_text().splitlines()
        return lines[-1] if lines else ''

    async def restart(self, name: str) -> Child:
        """Start the ended child called ``name`` again, the same way."""
        line = self.get(name).line
        return await self.start(name, line.module, *line.options)

    async def stop_all(self) -> None:
        """Ask every child to stop, then kill those that remain."""
        await asyncio.gather(
            *(child.end() for child in self._children.values()),
        )


@asynccontextmanager
async def own_processes(folder: Path) -> AsyncIterator[ProcessGroup]:
    """Yield a group whose children are stopped at the end."""
    group = ProcessGroup(folder)
    try:
        yield group
    finally:
        await group.stop_all()
