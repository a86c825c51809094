"""Gateways as real processes on the stand-in of the platform.

``bin/demo --platform`` runs it.
"""

import asyncio
import sys
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory

import defopt

from baobabhinge_standins.host.calling import send_call
from baobabhinge_standins.host.configuration import PLAIN, build_configuration
from baobabhinge_standins.host.processes import run_gateway
from baobabhinge_standins.host.scene import HostScene

WEST = 'west-a'
EAST = 'east-a'
GATEWAYS = {'one': WEST, 'two': WEST, 'three': EAST}
SERVERS = {'first': WEST, 'second': WEST, 'third': EAST}
PATHS = ('/safe/a', '/once/a', '/stream/stream', '/bound/a')
START_SECONDS = 3
PAUSE_SECONDS = 0.1


async def play(seconds: int) -> Counter[str]:
    """Send calls to real gateways; return how many ended in which way."""
    ends: Counter[str] = Counter()
    async with AsyncExitStack() as stack:
        scene = HostScene(stack)
        await start(scene, stack)
        for _ in range(int(seconds / PAUSE_SECONDS)):
            ends.update(await call_all(scene))
            await asyncio.sleep(PAUSE_SECONDS)
    return ends


async def start(scene: HostScene, stack: AsyncExitStack) -> None:
    """Start the store, the backend servers and the gateways."""
    folder = Path(stack.enter_context(TemporaryDirectory()))
    scene.addresses.store = await scene.serve(scene.store.build_app())
    scene.store.put('op/config', build_configuration(1))
    for server, zone in SERVERS.items():
        await scene.add_server(server, PLAIN, zone)
    for gateway in GATEWAYS:
        settings = scene.addresses.describe(gateway, GATEWAYS[gateway])
        await stack.enter_async_context(run_gateway(settings, folder))
    await asyncio.sleep(START_SECONDS)


async def call_all(scene: HostScene) -> list[str]:
    """Send one call of each kind to each gateway."""
    ends = []
    for gateway in GATEWAYS:
        address = scene.addresses.find(gateway, 'front')
        for path in PATHS:
            answer = await send_call(f'http://{address}{path}', {})
            ends.append(f'{gateway} {path} {answer.status}')
    return ends


def demonstrate(*, seconds: int = 5) -> None:
    """Run three gateways in two regions and tell how calls ended.

    Parameters
    ----------
    seconds
        How long calls are sent.
    """
    for end, count in sorted(asyncio.run(play(seconds)).items()):
        sys.stdout.write(f'{end}: {count}\n')


if __name__ == '__main__':
    defopt.run(demonstrate)
