"""Gateways as processes of their own on the stand-in of the platform."""

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import tomlkit

START = Path(__file__).resolve().parents[5] / 'platform' / 'start.py'


@asynccontextmanager
async def run_gateway(
    settings: dict[str, Any],
    folder: Path,
) -> AsyncIterator[Path]:
    """Run one gateway until the context ends.

    Parameters
    ----------
    settings : dict
        Settings as the platform writes them.
    folder : Path
        Takes the settings file and the log.

    Yields
    ------
    Path
        File of the log.
    """
    name = settings['node-name']
    path = folder / f'{name}.toml'
    path.write_text(tomlkit.dumps(settings), encoding='utf-8')
    log = folder / f'{name}.log'
    with log.open('wb') as lines:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(START),
            env={**os.environ, 'BAOBABHINGE_CONFIG': str(path)},
            stdout=lines,
            stderr=lines,
        )
        try:
            yield log
        finally:
            process.terminate()
            await process.wait()
