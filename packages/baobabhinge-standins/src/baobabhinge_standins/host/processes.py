"""Gateways as processes of their own on the stand-in of the platform."""

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import tomlkit

KIBIBYTE = 1024
START = Path(__file__).resolve().parents[5] / 'platform' / 'start.py'


class GatewayProcess(msgspec.Struct, frozen=True):
    """One gateway that runs.

    Parameters
    ----------
    pid : int
        Process.
    log : Path
        File of its log.
    """

    pid: int
    log: Path

    def measure_peak_memory(self) -> int:
        """Return the most bytes of memory that the process had at once."""
        status = Path(f'/proc/{self.pid}/status').read_text(encoding='ascii')
        lines = [line.split() for line in status.splitlines()]
        found = [line[1] for line in lines if line[0] == 'VmHWM:']
        return int(found[0]) * KIBIBYTE

    def count_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))


@asynccontextmanager
async def run_gateway(
    settings: dict[str, Any],
    folder: Path,
    *,
    program: Path = START,
) -> AsyncIterator[GatewayProcess]:
    """Run one gateway until the context ends.

    Parameters
    ----------
    settings : dict
        Settings as the platform writes them.
    folder : Path
        Takes the settings file and the log.
    program : Path, optional
        Program that starts the gateway.

    Yields
    ------
    GatewayProcess
        The process.
    """
    name = settings['node-name']
    path = folder / f'{name}.toml'
    path.write_text(tomlkit.dumps(settings), encoding='utf-8')
    log = folder / f'{name}.log'
    with log.open('ab') as lines:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            env={**os.environ, 'BAOBABHINGE_CONFIG': str(path)},
            stdout=lines,
            stderr=lines,
        )
        try:
            yield GatewayProcess(process.pid, log)
        finally:
            process.terminate()
            await process.wait()
