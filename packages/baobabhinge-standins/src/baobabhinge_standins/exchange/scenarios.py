"""Series of changes, by name."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from baobabhinge_standins.exchange.changes import FEW_ROUTES, ChangeScene
from baobabhinge_standins.exchange.gateway import REGIONS

MANY_ROUTES = 1400
VERSIONS = 3
VERSION_INTERVAL = timedelta(seconds=2)
CUT = timedelta(milliseconds=5500)
HEALED = timedelta(seconds=3)
RELEASE_STEPS = 10
RELEASE_INTERVAL = timedelta(milliseconds=200)

Scenario = Callable[[ChangeScene], Awaitable[None]]
SCENARIOS: dict[str, Scenario] = {}


def scenario(play: Scenario) -> Scenario:
    """Register a series of changes under the name of its function."""
    SCENARIOS[play.__name__.replace('_', '-')] = play
    return play


@scenario
async def release(scene: ChangeScene) -> None:
    """Replace servers one after the other, with five changes a second."""
    leaving = []
    for _ in range(RELEASE_STEPS):
        await scene.add_server()
        await asyncio.sleep(RELEASE_INTERVAL.total_seconds())
        leaving.append(await scene.announce_end())
        await asyncio.sleep(RELEASE_INTERVAL.total_seconds())
    for server in leaving:
        await scene.remove(server)


@scenario
async def many_routes(scene: ChangeScene) -> None:
    """Let servers leave while configurations with many routes spread."""
    await _publish_beside_ends(scene, MANY_ROUTES)


@scenario
async def few_routes(scene: ChangeScene) -> None:
    """Let servers leave beside small configurations."""
    await _publish_beside_ends(scene, FEW_ROUTES)


@scenario
async def domain_cut(scene: ChangeScene) -> None:
    """Cut a failure domain of a region off, and heal it."""
    hosts = scene.network.list_hosts(REGIONS[0])
    scene.network.separated = frozenset(hosts[::2])
    await asyncio.sleep(CUT.total_seconds())
    scene.network.separated = frozenset()
    await asyncio.sleep(HEALED.total_seconds())
    await scene.announce_end()


async def _publish_beside_ends(scene: ChangeScene, routes: int) -> None:
    for _ in range(VERSIONS):
        await scene.publish(routes)
        server = await scene.announce_end()
        await asyncio.sleep(VERSION_INTERVAL.total_seconds())
        await scene.remove(server)
