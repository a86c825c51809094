"""A deployment of stand-ins and gateways."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from baobabhinge_standins.fleet.members import Role, Roster
from baobabhinge_standins.fleet.plans import BackendPlan, DeploymentPlan
from baobabhinge_standins.fleet.platform import Platform
from baobabhinge_standins.fleet.processes import ProcessGroup, own_processes
from baobabhinge_standins.fleet.readiness import wait_url

GATEWAY_MODULE = 'baobabhinge_gateway'
STAND_IN_MODULES = {
    Role.engine: 'baobabhinge_standins.engine',
    Role.application: 'baobabhinge_standins.application',
}


class Deployment:
    """Processes of one deployment and their addresses."""

    __slots__ = ('_folder', '_http', 'platform', 'processes', 'roster')

    def __init__(
        self,
        folder: Path,
        processes: ProcessGroup,
        http: aiohttp.ClientSession,
    ) -> None:
        """Start nothing yet."""
        self._folder = folder
        self._http = http
        self.platform = Platform(http)
        self.processes = processes
        self.roster = Roster()

    async def start_backends(self, plan: BackendPlan) -> None:
        """Start the backend servers of one service in one region."""
        for _ in range(plan.count):
            member = self.roster.add_backend(
                plan.role,
                plan.region,
                plan.service,
            )
            await self.processes.start(
                member.name,
                STAND_IN_MODULES[plan.role],
                *member.list_options(),
            )

    async def start_gateway(self, name: str) -> None:
        """Start one planned gateway."""
        member = self.roster.get(name)
        path = self._folder / f'{name}.ini'
        path.write_text(self.platform.render_process_settings(member))
        await self.processes.start(name, GATEWAY_MODULE, f'--settings={path}')

    async def publish_vm_list(self) -> None:
        """Write the list of vms as the roster stands."""
        await self.platform.write_vm_list(self.roster.list_all())

    async def publish_folder(self, folder: Path) -> None:
        """Publish ``folder`` with the operators' command."""
        store = self.platform.store_address
        command = await self.processes.start(
            'operator',
            'baobabhinge_operator',
            'publish',
            str(folder),
            f'--key-value={store}',
        )
        await command.wait()

    async def wait_ready(self) -> None:
        """Wait until every gateway serves with a configuration."""
        for member in self.roster.list_by(Role.gateway):
            address = member.caller_address
            await wait_url(self._http, f'http://{address}/readyz')


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
        deployment = Deployment(folder, processes, http)
        await _start_all(deployment, plan)
        yield deployment


async def _start_all(deployment: Deployment, plan: DeploymentPlan) -> None:
    await deployment.platform.start(deployment.processes)
    for backend in plan.backends:
        await deployment.start_backends(backend)
    for region, count in plan.gateways.items():
        for _ in range(count):
            deployment.roster.add_gateway(region)
    await deployment.publish_vm_list()
    for member in deployment.roster.list_by(Role.gateway):
        await deployment.start_gateway(member.name)
