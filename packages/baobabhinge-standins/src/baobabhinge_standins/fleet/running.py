"""Starting the processes of a plan."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from baobabhinge_standins.fleet.deployment import Deployment
from baobabhinge_standins.fleet.members import Role
from baobabhinge_standins.fleet.plans import DeploymentPlan
from baobabhinge_standins.fleet.processes import own_processes


@asynccontextmanager
async def run_deployment(
    plan: DeploymentPlan,
    folder: Path,
) -> AsyncIterator[Deployment]:
    """Yield a started deployment without a configuration."""
    async with (
        aiohttp.ClientSession() as http,
        own_processes(folder) as processes,
    ):
        deployment = Deployment(plan, folder, processes, http)
        await _start_all(deployment, plan)
        yield deployment


async def _start_all(deployment: Deployment, plan: DeploymentPlan) -> None:
    for region, count in plan.gateways.items():
        for _ in range(count):
            deployment.roster.add_gateway(region)
    await asyncio.gather(
        deployment.platform.start(deployment.processes),
        *map(deployment.start_backends, plan.backends),
    )
    await deployment.prepare_gateways()
    gateways = deployment.roster.list_by(Role.gateway)
    await asyncio.gather(
        *(deployment.start_gateway(member.name) for member in gateways),
    )
