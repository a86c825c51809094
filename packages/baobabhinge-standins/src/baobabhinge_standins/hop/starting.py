"""Starting the deployment that is measured."""

import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.fleet import Deployment, run_deployment
from baobabhinge_standins.hop.bench import Bench
from baobabhinge_standins.hop.meter import Meter
from baobabhinge_standins.hop.work import GATEWAY, PLAN, SETTINGS


@asynccontextmanager
async def start_bench() -> AsyncIterator[Bench]:
    """Yield a bench whose deployment is ready."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        settings = folder / 'settings'
        settings.mkdir()
        (settings / '10.ini').write_text(SETTINGS)
        async with (
            run_deployment(PLAN, folder) as running,
            aiohttp.ClientSession() as http,
        ):
            await _make_ready(running, settings)
            yield _build_bench(running, http)


def _build_bench(
    running: Deployment,
    http: aiohttp.ClientSession,
) -> Bench:
    meter = Meter(running.processes.get(GATEWAY).process.pid)
    return Bench(running, http, meter, SystemClock())


async def _make_ready(running: Deployment, settings: Path) -> None:
    await running.publish_folder(settings)
    await running.wait_ready()
