"""Starting the deployment that trials run on."""

import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from baobabhinge_standins.experiment.runner import Runner
from baobabhinge_standins.experiment.sites import SITES
from baobabhinge_standins.fleet import run_deployment

FIRST_POLICY = 'estimated-latency'


@asynccontextmanager
async def start_runner(name: str) -> AsyncIterator[Runner]:
    """Yield a runner whose deployment called ``name`` is ready."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        settings = folder / 'settings'
        settings.mkdir()
        async with run_deployment(SITES[name].plan(), folder) as running:
            runner = Runner(SITES[name], running, settings)
            await runner.publish(FIRST_POLICY)
            await running.wait_ready()
            yield runner
