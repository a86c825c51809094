"""Starting the deployment that is measured."""

import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from baobabhinge_coordination.clock import SystemClock
from baobabhinge_standins.fleet import (
    Deployment,
    run_deployment,
    wait_until,
)
from baobabhinge_standins.hop.bench import Bench
from baobabhinge_standins.hop.meter import Meter
from baobabhinge_standins.hop.work import GATEWAY, PLAN, SETTINGS


class Site:
    """One gateway with its backend servers, ready to serve.

    Parameters
    ----------
    running : Deployment
        The processes.
    settings : Path
        Folder of the operators' settings.

    Attributes
    ----------
    settings : Path
        Folder of the operators' settings.
    running : Deployment
        The processes.
    meter : Meter
        Meter of the gateway.
    """

    __slots__ = ('_generation', 'meter', 'running', 'settings')

    def __init__(self, running: Deployment, settings: Path) -> None:
        """Find the gateway's process."""
        self.running = running
        self.settings = settings
        self.meter = Meter(running.processes.get(GATEWAY).process.pid)
        self._generation = 1

    async def publish(self) -> None:
        """Publish the folder and wait until it is in force."""
        await self.running.publish_folder(self.settings)
        self._generation += 1
        await wait_until(self._is_in_force)

    async def _is_in_force(self) -> bool:
        gateway = self.running.roster.get(GATEWAY)
        url = f'http://{gateway.caller_address}/v1/status'
        async with aiohttp.ClientSession() as http, http.get(url) as answer:
            status = await answer.json()
        return bool(status['generation'] >= self._generation)


@asynccontextmanager
async def start_site() -> AsyncIterator[Site]:
    """Yield a site that serves with its first settings."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        settings = folder / 'settings'
        settings.mkdir()
        (settings / '10.ini').write_text(SETTINGS)
        async with run_deployment(PLAN, folder) as running:
            site = Site(running, settings)
            await running.publish_folder(settings)
            await running.wait_ready()
            yield site


@asynccontextmanager
async def start_bench() -> AsyncIterator[Bench]:
    """Yield a bench whose site serves."""
    async with start_site() as site, aiohttp.ClientSession() as http:
        yield Bench(site.running, http, site.meter, SystemClock())
