"""A deployment of stand-ins and gateways."""

import asyncio
from pathlib import Path

import aiohttp

from baobabhinge_standins.fleet.awaiting import GatewayWait
from baobabhinge_standins.fleet.backends import Backends
from baobabhinge_standins.fleet.members import Role, Roster
from baobabhinge_standins.fleet.plans import BackendPlan, DeploymentPlan
from baobabhinge_standins.fleet.platform import Platform
from baobabhinge_standins.fleet.processes import ProcessGroup
from baobabhinge_standins.fleet.views import Views
from baobabhinge_standins.fleet.vmlists import VmLists
from baobabhinge_standins.links import Links

GATEWAY_MODULE = 'baobabhinge_gateway'
REFUSING = '--fencing=refuse'
STAND_IN_MODULES = {
    Role.engine: 'baobabhinge_standins.engine',
    Role.application: 'baobabhinge_standins.application',
}


class PublishFailedError(Exception):
    """The operators' command did not publish a folder."""


class Deployment:
    """Processes of one deployment and their addresses.

    Attributes
    ----------
    backends : Backends
        Journals and faults of the backend servers.
    links : Links
        Faults between processes.
    platform : Platform
        Addresses and control of the platform's stand-ins.
    processes : ProcessGroup
        Every process by the name of its member, and signals to them.
    roster : Roster
        Members by name.
    vm_lists : VmLists
        Changes of the list of vms.
    """

    __slots__ = (
        '_folder',
        '_http',
        '_views',
        'backends',
        'links',
        'platform',
        'processes',
        'roster',
        'vm_lists',
    )

    def __init__(
        self,
        plan: DeploymentPlan,
        folder: Path,
        processes: ProcessGroup,
        http: aiohttp.ClientSession,
    ) -> None:
        """Start nothing yet."""
        self._folder = folder
        self._http = http
        self.backends = Backends(http)
        self.platform = Platform(
            http,
            plan.process_lines,
            has_weights=plan.has_weights,
        )
        self.processes = processes
        self.roster = Roster(plan.failure_domains)
        self.links = Links(http, self.platform.links_address)
        self._views = Views(plan, self.links)
        self.vm_lists = VmLists(
            self.roster,
            self._views,
            self.platform.lists,
        )

    async def start_backends(self, plan: BackendPlan) -> None:
        """Start the backend servers of one service in one region."""
        members = [
            self.roster.add_backend(plan.role, plan.region, plan.service)
            for _ in range(plan.count)
        ]
        if REFUSING in plan.options:
            for engine in members:
                engine.fencing = 'refuse'
        await asyncio.gather(
            *(
                self.processes.start(
                    member.name,
                    STAND_IN_MODULES[plan.role],
                    *member.list_options(
                        self._folder / f'{member.name}.journal',
                    ),
                    *plan.options,
                    *self.platform.list_options(plan.role),
                )
                for member in members
            ),
        )

    async def prepare_gateways(self) -> None:
        """Open the links of every gateway and write the lists of vms."""
        gateways = self.roster.list_by(Role.gateway)
        await self._views.open_store_links(
            gateways,
            self.platform.store_address,
        )
        await self._views.open_caller_links(gateways)
        await self.vm_lists.publish()

    async def start_gateway(self, name: str) -> None:
        """Start one planned gateway."""
        member = self.roster.get(name)
        path = self._folder / f'{name}.ini'
        store = self._views.get_store_address(member)
        seeds = self.roster.list_by(Role.gateway, member.region)
        path.write_text(
            self.platform.render_process_settings(member, store, seeds),
        )
        await self.processes.start(name, GATEWAY_MODULE, f'--settings={path}')

    def choose_entry(self, region: str, number: int) -> str:
        """Return where callers of a region reach one of its gateways."""
        gateways = self.roster.list_by(Role.gateway, region)
        gateway = gateways[number % len(gateways)]
        return self._views.get_caller_address(gateway)

    async def publish_folder(self, folder: Path) -> None:
        """Publish ``folder`` with the operators' command.

        Raises
        ------
        PublishFailedError
            If the command ends with another exit code than 0.
        """
        store = self.platform.store_address
        command = await self.processes.start(
            'operator',
            'baobabhinge_operator',
            'publish',
            str(folder),
            f'--key-value={store}',
        )
        if await command.process.wait():
            last = self.processes.read_last_line('operator')
            raise PublishFailedError(last)

    async def wait_ready(self) -> None:
        """Wait until every gateway serves with a configuration.

        Raises
        ------
        NotReadyError
            If one of them ends, or does not serve in time.
        """
        waiting = GatewayWait(self._http, self.processes)
        await waiting.wait_all(self.roster.list_by(Role.gateway))
