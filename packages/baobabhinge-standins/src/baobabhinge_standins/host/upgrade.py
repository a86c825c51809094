"""Gateways of two builds beside each other, replaced one after the other.

Each gateway is a process of its own. While the older ones are replaced, the
configuration changes, servers leave, a failure domain is evacuated and taken
back, and the store drops its history; calls go to all gateways.
"""

import asyncio
import itertools
from collections import Counter
from contextlib import AsyncExitStack
from math import inf
from pathlib import Path
from random import Random

from baobabhinge_standins.host.calling import send_call
from baobabhinge_standins.host.processes import START, run_gateway
from baobabhinge_standins.host.scene import HostScene
from baobabhinge_standins.host.state_changes import (
    EAST,
    Deadlines,
    StateChanges,
)

WEST = 'west-a'
# Three of the west watch the store, the others of it are told by them.
GATEWAYS = {**dict.fromkeys('abcde', WEST), 'f': EAST}
PATHS = ('/safe/a', '/once/a')
START_SECONDS = 8
PAUSE_SECONDS = 0.01
BETWEEN_SECONDS = 8


class Upgrade:
    """Deployment whose gateways are replaced one after the other.

    Parameters
    ----------
    scene : HostScene
        Store and servers.
    older : Path
        Program of the older build.
    folder : Path
        Takes the settings and logs.

    Attributes
    ----------
    ends : Counter of str
        How calls ended.
    """

    def __init__(self, scene: HostScene, older: Path, folder: Path) -> None:
        """Start nothing."""
        self.ends: Counter[str] = Counter()
        self._scene = scene
        self._older = older
        self._deadlines = Deadlines()
        self._running: dict[str, AsyncExitStack] = {}
        self._folder = folder

    async def start(self) -> None:
        """Start all gateways with the older build."""
        for name in GATEWAYS:
            await self._run(name, self._older)
        await asyncio.sleep(START_SECONDS)

    async def replace_all(self, draw: Random) -> None:
        """Replace each gateway, with changes before and after."""
        changes = StateChanges(self._scene, self._deadlines, draw)
        for replaced in (*draw.sample(list(GATEWAYS), len(GATEWAYS)), None):
            await changes.make()
            await asyncio.sleep(BETWEEN_SECONDS)
            if replaced is not None:
                await self.stop(replaced)
                await self._run(replaced, START)

    async def call_forever(self) -> None:
        """Send calls to all gateways until the task is cancelled."""
        loop = asyncio.get_running_loop()
        calls: set[asyncio.Task[None]] = set()
        for name in itertools.cycle(GATEWAYS):
            calls = {one for one in calls if not one.done()}
            for path in (*PATHS, *self._deadlines.routes):
                calls.add(loop.create_task(self._call(name, path)))
                await asyncio.sleep(PAUSE_SECONDS)

    async def stop(self, name: str) -> None:
        """Stop one gateway."""
        self._deadlines.started[name] = inf
        await self._running.pop(name).aclose()

    async def _run(self, name: str, program: Path) -> None:
        settings = self._scene.addresses.describe(name, GATEWAYS[name])
        self._running[name] = AsyncExitStack()
        await self._running[name].enter_async_context(
            run_gateway(settings, self._folder, program=program)
        )
        now = asyncio.get_running_loop().time()
        self._deadlines.started[name] = now

    async def _call(self, gateway: str, path: str) -> None:
        sent = asyncio.get_running_loop().time()
        address = self._scene.addresses.find(gateway, 'front')
        received = await send_call(f'http://{address}{path}', {})
        self.ends[self._deadlines.judge(gateway, path, sent, received)] += 1
