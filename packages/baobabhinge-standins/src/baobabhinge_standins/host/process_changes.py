"""Gateways as processes that are stopped, reloaded and replaced at random."""

import asyncio
import os
import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from random import Random

from baobabhinge_standins.host.addresses import SceneAddresses
from baobabhinge_standins.host.processes import run_gateway

GATEWAYS = {'one': 'west-a', 'two': 'east-a', 'three': 'west-a'}
# Of the changes; two may overlap.
STOP_SECONDS = (0.05, 0.3, 1.0)
PAUSE_SECONDS = 0.6
# From an event to the run of a loop that sees it.
NOTICING_SECONDS = 0.1
# The interpreter ends at a SIGHUP before the program runs.
START_SECONDS = 1


class ProcessChanges:
    """Gateways, and signals to them.

    Parameters
    ----------
    addresses : SceneAddresses
        Where the gateways are.
    folder : Path
        Takes their settings and logs.
    random : Random
        Generator of all choices.

    Attributes
    ----------
    names : sequence of str
        The gateways.
    """

    __slots__ = (
        '_addresses',
        '_folder',
        '_pids',
        '_random',
        '_stacks',
        '_started',
        '_stops',
        'names',
    )

    def __init__(
        self, addresses: SceneAddresses, folder: Path, random: Random
    ) -> None:
        """Run nothing yet."""
        self._addresses = addresses
        self._folder = folder
        self._random = random
        self._pids: dict[str, int] = {}
        self._started: dict[str, float] = {}
        self._stacks: dict[str, AsyncExitStack] = {}
        # Begin and end of each time in which a process was stopped.
        self._stops: list[tuple[float, float]] = []
        self.names: Sequence[str] = tuple(GATEWAYS)

    async def end(self, name: str) -> None:
        """End one gateway."""
        self._started.pop(name)
        await self._stacks.pop(name).aclose()

    async def play(self, seconds: float) -> None:
        """Stop, reload and replace gateways for a while."""
        end = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as playing:
            playing.create_task(self._stop_until(end))
            playing.create_task(self._stop_until(end))
            playing.create_task(self._replace_until(end))

    def find_running_since(self, instant: float) -> float:
        """Return when all processes ran that were stopped at an instant.

        One that was stopped right after it may not have run in between.
        """
        known = instant
        for begun, ended in sorted(self._stops):
            if begun - NOTICING_SECONDS <= known <= ended:
                known = ended
        return known

    async def run(self, name: str) -> None:
        """Run one gateway."""
        stack = AsyncExitStack()
        settings = self._addresses.describe(name, GATEWAYS[name])
        process = await stack.enter_async_context(
            run_gateway(settings, self._folder)
        )
        self._pids[name] = process.pid
        self._started[name] = asyncio.get_running_loop().time()
        self._stacks[name] = stack

    async def _stop_until(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(self._random.random() * PAUSE_SECONDS)
            name = self._random.choice(self.names)
            begun = loop.time()
            if begun - self._started.get(name, begun) > START_SECONDS:
                seconds = self._random.choice(STOP_SECONDS)
                await _stop(self._pids[name], seconds)
                self._stops.append((begun, loop.time()))

    async def _replace_until(self, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            await asyncio.sleep(PAUSE_SECONDS)
            name = self._random.choice(self.names)
            # The others go on meanwhile, and clients keep their connections.
            await self.end(name)
            await self.run(name)


@asynccontextmanager
async def open_changes(
    addresses: SceneAddresses, folder: Path, random: Random
) -> AsyncIterator[ProcessChanges]:
    """Run the gateways until the context ends.

    Parameters
    ----------
    addresses : SceneAddresses
        Where the gateways are.
    folder : Path
        Takes their settings and logs.
    random : Random
        Generator of all choices.

    Yields
    ------
    ProcessChanges
        Changes of the gateways.
    """
    changes = ProcessChanges(addresses, folder, random)
    async with AsyncExitStack() as stack:
        for name in changes.names:
            await changes.run(name)
            stack.push_async_callback(changes.end, name)
        yield changes


async def _stop(pid: int, seconds: float) -> None:
    """Stop a process for a while; it may be replaced meanwhile."""
    with suppress(ProcessLookupError):
        os.kill(pid, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        os.kill(pid, signal.SIGCONT)
        os.kill(pid, signal.SIGHUP)
