"""Run the demo."""

import asyncio
import sys
import tempfile
from datetime import timedelta
from pathlib import Path

import aiohttp
import defopt

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.demo.player import Player
from baobabhinge_standins.demo.records import Records, Verdict
from baobabhinge_standins.demo.script import read_script
from baobabhinge_standins.fleet import PLANS, Deployment, run_deployment

EXAMPLES = Path('examples')
INTERVAL = timedelta(milliseconds=50)
DEFAULT_SECONDS = 15


def main(
    deployment: str = 'tsukushi', *, seconds: int = DEFAULT_SECONDS
) -> None:
    """Run one deployment as real processes and play its requests.

    Parameters
    ----------
    deployment
        ``tsukushi`` or ``kranfelder``.
    seconds
        How long requests are sent, in seconds.
    """
    span = timedelta(seconds=seconds)
    records = asyncio.run(_run(deployment, span))
    sys.stdout.write(f'{records.outcomes}\n')
    all_answered = set(records.outcomes) == {Verdict.answered}
    sys.exit(0 if all_answered else 1)


async def _run(name: str, span: timedelta) -> Records:
    with tempfile.TemporaryDirectory() as folder:
        async with run_deployment(PLANS[name], Path(folder)) as running:
            await running.publish_folder(EXAMPLES / name / 'settings')
            await running.wait_ready()
            return await _play(running, name, span)


async def _play(running: Deployment, name: str, span: timedelta) -> Records:
    script = read_script(EXAMPLES / name / 'requests.jsonl')
    async with aiohttp.ClientSession() as http:
        player = Player(running, http, SystemClock())
        await player.play(script, INTERVAL, span)
    return player.records


if __name__ == '__main__':
    defopt.run(main)
