"""Generations of all gateways while a soak runs."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import aiohttp
import msgspec

from baobabhinge_standins.fleet import Deployment, Role
from baobabhinge_standins.fleet.members import Member

INTERVAL = timedelta(milliseconds=300)
LIMIT = aiohttp.ClientTimeout(total=1)


class _Status(msgspec.Struct):
    generation: int


class GenerationMonitor:
    """Read the generation of each gateway process again and again.

    Parameters
    ----------
    deployment : Deployment
        Gateways to watch.
    http : aiohttp.ClientSession
        Session that the caller owns and closes.

    Attributes
    ----------
    seen : dict of str to list of int
        Generations in order, by gateway and process id.
    """

    __slots__ = ('_deployment', '_http', 'seen')

    def __init__(
        self,
        deployment: Deployment,
        http: aiohttp.ClientSession,
    ) -> None:
        """Start with nothing seen."""
        self._deployment = deployment
        self._http = http
        self.seen: defaultdict[str, list[int]] = defaultdict(list)

    async def watch(self) -> None:
        """Watch until cancelled."""
        while True:
            await self.read_all()
            await asyncio.sleep(INTERVAL.total_seconds())

    async def read_all(self) -> dict[str, int]:
        """Return the generation of each gateway that answers."""
        gateways = self._deployment.roster.list_by(Role.gateway)
        read = await asyncio.gather(*map(self._read, gateways))
        return {
            gateway.name: generation
            for gateway, generation in zip(gateways, read, strict=True)
            if generation is not None
        }

    async def _read(self, gateway: Member) -> int | None:
        pid = self._deployment.processes.get(gateway.name).process.pid
        url = f'http://{gateway.caller_address}/v1/status'
        try:
            async with self._http.get(url, timeout=LIMIT) as answer:
                body = await answer.read()
        except (aiohttp.ClientError, TimeoutError):
            return None
        generation = msgspec.json.decode(body, type=_Status).generation
        self._note(f'{gateway.name} {pid}', generation)
        return generation

    def _note(self, process: str, generation: int) -> None:
        if self.seen[process][-1:] != [generation]:
            self.seen[process].append(generation)


@asynccontextmanager
async def run_monitor(
    deployment: Deployment,
) -> AsyncIterator[GenerationMonitor]:
    """Yield a monitor that watches in the background."""
    async with aiohttp.ClientSession() as http:
        monitor = GenerationMonitor(deployment, http)
        watching = asyncio.create_task(monitor.watch())
        try:
            yield monitor
        finally:
            watching.cancel()
