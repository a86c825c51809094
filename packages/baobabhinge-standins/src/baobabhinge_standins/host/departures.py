"""Command that plays callers who leave beside changes of the gateways.

python -m baobabhinge_standins.host.departures --seed 1 --seeds 50
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import defopt

from baobabhinge_standins.host.configuration import (
    PLAIN,
    build_configuration,
    build_route,
)
from baobabhinge_standins.host.departing_crowd import (
    WORK_SECONDS,
    DepartingCrowd,
)
from baobabhinge_standins.host.process_changes import open_changes
from baobabhinge_standins.host.scene import HostScene, open_scene
from baobabhinge_standins.output import show_line

SLOTS = 500
START_SECONDS = 3
ROUTES = (
    build_route('safe', 'safe', timeout_ms=8000, target_latency_ms=4000),
    build_route('once', 'unsafe', timeout_ms=8000, target_latency_ms=4000),
    build_route('stream', 'streaming', timeout_ms=8000),
)


@asynccontextmanager
async def open_slow_scene() -> AsyncIterator[HostScene]:
    """Run a store and a server that works for longer than callers stay."""
    async with open_scene() as scene:
        server = await scene.add_server('first', PLAIN, 'west-a')
        scene.store.put('servers/first', server.describe(slots=SLOTS))
        scene.store.put('op/config', build_configuration(2, *ROUTES))
        server.notice.brittleness.work_seconds = WORK_SECONDS
        yield scene


async def soak(seed: int, seconds: float) -> Sequence[str]:
    """Play one seed; return what went on for callers that had left.

    Behind each run are the lines that the gateways logged of it.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    seconds : float
        Time for which callers come.
    """
    with TemporaryDirectory() as folder:
        violations = await _play(Path(folder), Random(seed), seconds)
        return [
            line
            for violation in violations
            for line in (violation, *_list_lines(Path(folder), violation))
        ]


async def _play(folder: Path, random: Random, seconds: float) -> Sequence[str]:
    async with (
        open_slow_scene() as scene,
        open_changes(scene.addresses, folder, random) as changes,
    ):
        await asyncio.sleep(START_SECONDS)
        crowd = DepartingCrowd(scene, changes, random)
        await crowd.play(seconds)
        return crowd.list_violations()


def _list_lines(folder: Path, violation: str) -> Sequence[str]:
    """Return what the gateways logged of the attempt of a violation."""
    attempt = violation.partition(',')[0]
    logs = [log.read_text(encoding='utf-8') for log in folder.glob('*.log')]
    lines = '\n'.join(logs).splitlines()
    return [line for line in lines if f'"{attempt}"' in line]


def play_departures(
    *, seed: int = 1, seeds: int = 1, seconds: float = 10
) -> None:
    """Play callers that leave, and tell what went on for them.

    Parameters
    ----------
    seed
        First seed.
    seeds
        Number of seeds.
    seconds
        Time for which callers come, with each seed.
    """
    for number in range(seed, seed + seeds):
        violations = asyncio.run(soak(number, seconds))
        show_line(f'seed {number}: {len(violations)}')
        for violation in violations:
            show_line(violation)


if __name__ == '__main__':
    defopt.run(play_departures)
