"""Commands of the operators."""

import asyncio
import getpass
import sys
import uuid
from collections.abc import Coroutine
from pathlib import Path

import aiohttp
import defopt

from baobabhinge_coordination.errors import CoordinationError
from baobabhinge_coordination.generations import (
    Publisher,
    ReleaseFile,
    ReleaseReader,
)
from baobabhinge_platform.store import ConsulStore, ConsulTransport
from baobabhinge_settings import merge_files, read_folder

EXIT_REFUSED = 1


def publish(folder: Path, *, key_value: str) -> None:
    """Make a folder of settings the next generation.

    Parameters
    ----------
    folder
        Folder that holds the ``.ini`` files.
    key_value
        Address of the key-value service.
    """
    _run(_publish(folder, key_value))


def show(*, key_value: str) -> None:
    """Print the settings that run.

    Parameters
    ----------
    key_value
        Address of the key-value service.
    """
    _run(_show(key_value))


async def _publish(folder: Path, key_value: str) -> str:
    files = read_folder(folder)
    merge_files(files)
    async with aiohttp.ClientSession() as http:
        publisher = Publisher(
            ConsulStore(ConsulTransport(http, key_value)), getpass.getuser()
        )
        generation = await publisher.publish(
            [ReleaseFile(source.name, source.text) for source in files],
            uuid.uuid4().hex,
        )
    return f'generation {generation}'


async def _show(key_value: str) -> str:
    async with aiohttp.ClientSession() as http:
        reader = ReleaseReader(ConsulStore(ConsulTransport(http, key_value)))
        release = await reader.read_current()
    if release is None:
        return 'nothing is published'
    return '\n'.join(f'# {part.name}\n{part.text}' for part in release.files)


def _run(command: Coroutine[None, None, str]) -> None:
    try:
        sys.stdout.write(f'{asyncio.run(command)}\n')
    except CoordinationError as bad:
        sys.stderr.write(f'{bad}\n')
        sys.exit(EXIT_REFUSED)


def run() -> None:
    """Read the command line and run one command."""
    defopt.run([publish, show])
