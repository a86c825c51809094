"""Command that replaces gateways of an older build under calls.

python -m baobabhinge_standins.host.replacing FOLDER_OF_THE_OLDER_BUILD
"""

import asyncio
import sys
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import defopt

from baobabhinge_standins.host.configuration import PLAIN, build_configuration
from baobabhinge_standins.host.scene import HostScene
from baobabhinge_standins.host.state_changes import EAST, EASTERN
from baobabhinge_standins.host.upgrade import GATEWAYS, WEST, Upgrade

SERVERS = 24
GRACE_SECONDS = 2


async def upgrade(older: Path, seed: int) -> Counter[str]:
    """Replace the gateways of an older build; return how calls ended."""
    async with AsyncExitStack() as stack:
        scene = HostScene(stack)
        await start_servers(scene)
        folder = stack.enter_context(TemporaryDirectory())
        played = Upgrade(scene, older / 'platform/start.py', Path(folder))
        for gateway in GATEWAYS:
            stack.push_async_callback(played.stop, gateway)
        await played.start()
        stack.callback(asyncio.create_task(played.call_forever()).cancel)
        await played.replace_all(Random(seed))
    return played.ends


async def start_servers(scene: HostScene) -> None:
    """Start the store and the backend servers."""
    scene.addresses.store = await scene.serve(scene.store.build_app())
    scene.addresses.bounds['grace-s'] = GRACE_SECONDS
    scene.store.put('op/config', build_configuration(1))
    for number in range(SERVERS):
        name = f's-{number}'
        zone = EAST if name in EASTERN else WEST
        await scene.add_server(name, PLAIN, zone)


def replace_gateways(older: Path, *, seed: int = 1) -> None:
    """Replace gateways of an older build by this one, and tell how calls ended.

    Parameters
    ----------
    older
        Folder of the checkout of the older build.
    seed
        Of the changes and the order of the gateways.
    """
    ends = asyncio.run(upgrade(older, seed))
    for end in sorted(ends):
        sys.stdout.write(f'{end}: {ends[end]}\n')


if __name__ == '__main__':
    defopt.run(replace_gateways)
