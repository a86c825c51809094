"""The platform's stand-ins of one deployment."""

from collections.abc import Iterable

import aiohttp
import msgspec

from baobabhinge_standins.fleet.members import Member
from baobabhinge_standins.fleet.ports import HOST, reserve_port
from baobabhinge_standins.fleet.processes import ProcessGroup
from baobabhinge_standins.fleet.readiness import wait_port


class Platform:
    """Key-value service, list of vms and client directory."""

    __slots__ = ('_http', '_lists_port', '_store_port')

    def __init__(self, http: aiohttp.ClientSession) -> None:
        """Choose ports; start nothing yet."""
        self._http = http
        self._store_port = reserve_port()
        self._lists_port = reserve_port()

    @property
    def store_address(self) -> str:
        """Return the address of the key-value service."""
        return f'http://{HOST}:{self._store_port}'

    async def start(self, processes: ProcessGroup) -> None:
        """Start the stand-ins and wait until they listen."""
        await processes.start(
            'keyvalue',
            'baobabhinge_standins.keyvalue',
            f'--port={self._store_port}',
        )
        await processes.start(
            'lists',
            'baobabhinge_standins.machines',
            f'--port={self._lists_port}',
        )
        await wait_port(self._store_port)
        await wait_port(self._lists_port)

    async def write_vm_list(self, members: Iterable[Member]) -> None:
        """Write the list of vms for every region."""
        listed = list(members)
        body = msgspec.json.encode(
            [member.render_target() for member in listed],
        )
        regions = {member.region for member in listed}
        for region in regions:
            await self._put(f'vms/{region}', body)

    def render_process_settings(self, member: Member) -> str:
        """Return the process settings of a gateway."""
        lists = f'http://{HOST}:{self._lists_port}'
        return '\n'.join(
            (
                '[process]',
                f'name = {member.name}',
                f'region = {member.region}',
                f'failure-domain = {member.failure_domain}',
                f'caller-address = {member.caller_address}',
                f'peer-address = {member.address}',
                '[platform]',
                f'key-value = {self.store_address}',
                f'vm-list = {lists}/vms/{member.region}',
                f'client-directory = {lists}/directory',
            ),
        )

    async def _put(self, path: str, body: bytes) -> None:
        url = f'http://{HOST}:{self._lists_port}/{path}'
        async with self._http.put(url, data=body) as answer:
            answer.raise_for_status()
