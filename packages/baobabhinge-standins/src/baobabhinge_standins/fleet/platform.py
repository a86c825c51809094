"""The platform's stand-ins of one deployment."""

import asyncio
from collections.abc import Iterable, Sequence

import aiohttp
import msgspec

from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.fleet.members import Member, Role
from baobabhinge_standins.fleet.ports import HOST, reserve_port
from baobabhinge_standins.fleet.processes import ProcessGroup
from baobabhinge_standins.fleet.readiness import wait_port

PACKAGE = 'baobabhinge_standins'
STORE = 'keyvalue'
LISTS = 'lists'
LINKS = 'links'
WEIGHTS = 'weights'


class StandInPort(msgspec.Struct, frozen=True):
    """Port of one stand-in of the platform."""

    name: str
    module: str
    port: int

    @property
    def address(self) -> str:
        """Return the base URL."""
        return f'http://{HOST}:{self.port}'


def choose_ports(*, has_weights: bool) -> dict[str, StandInPort]:
    """Return the stand-ins of the platform by name, with free ports."""
    modules = {STORE: 'keyvalue', LISTS: 'machines', LINKS: 'links'}
    if has_weights:
        modules[WEIGHTS] = WEIGHTS
    return {
        name: StandInPort(name, f'{PACKAGE}.{module}', reserve_port())
        for name, module in modules.items()
    }


class Platform:
    """Key-value service, list of vms, client directory and links.

    Attributes
    ----------
    lists : ControlClient
        Stand-in of the list of vms and of the client directory.
    store : ControlClient
        Key-value service: faults (``-/faults``) and calls (``-/calls``).
    weights : ControlClient or None
        Weight store, if the deployment has one.
    """

    __slots__ = ('_ports', '_process_lines', 'lists', 'store', 'weights')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        process_lines: Sequence[str],
        *,
        has_weights: bool,
    ) -> None:
        """Choose ports; start nothing yet."""
        self._ports = choose_ports(has_weights=has_weights)
        self._process_lines = process_lines
        self.lists = ControlClient(http, self._ports[LISTS].address)
        self.store = ControlClient(http, self.store_address)
        self.weights = None
        if has_weights:
            self.weights = ControlClient(http, self._ports[WEIGHTS].address)

    @property
    def store_address(self) -> str:
        """Return the address of the key-value service, behind no link."""
        return self._ports[STORE].address

    @property
    def links_address(self) -> str:
        """Return the address of the control interface of the links."""
        return self._ports[LINKS].address

    def get_list_address(self, viewer: str) -> str:
        """Return the URL of the list of vms as a gateway gets it."""
        lists = self._ports[LISTS].address
        return f'{lists}/vms/{viewer}'

    def list_options(self, role: Role) -> tuple[str, ...]:
        """Return the options by which a backend server finds the platform."""
        weights = self._ports.get(WEIGHTS)
        if weights is None or role is not Role.engine:
            return ()
        return (f'--weights={weights.address}',)

    async def start(self, processes: ProcessGroup) -> None:
        """Start the stand-ins and wait until they listen."""
        ports = self._ports.values()
        await asyncio.gather(
            *(
                processes.start(one.name, one.module, f'--port={one.port}')
                for one in ports
            ),
        )
        await asyncio.gather(*(wait_port(one.port) for one in ports))

    def render_process_settings(
        self,
        member: Member,
        store: str,
        seeds: Iterable[Member],
    ) -> str:
        """Return the process settings of a gateway.

        Parameters
        ----------
        member : Member
            The gateway.
        store : str
            URL at which it reaches the key-value service.
        seeds : iterable of Member
            Gateways by which it finds the others of its region.
        """
        addresses = ', '.join(seed.address for seed in seeds)
        directory = self._ports[LISTS].address
        return '\n'.join(
            (
                '[process]',
                f'name = {member.name}',
                f'region = {member.region}',
                f'failure-domain = {member.failure_domain}',
                f'caller-address = {member.caller_address}',
                f'peer-address = {member.address}',
                f'seeds = {addresses}',
                *self._process_lines,
                '[platform]',
                f'key-value = {store}',
                f'vm-list = {self.get_list_address(member.name)}',
                f'client-directory = {directory}/directory',
            ),
        )
