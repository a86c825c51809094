"""Waiting until gateways serve, or until one of them ends."""

import asyncio
from collections.abc import Iterable

import aiohttp

from baobabhinge_standins.fleet.members import Member
from baobabhinge_standins.fleet.processes import ProcessGroup
from baobabhinge_standins.fleet.readiness import is_ok, wait_until


class NotReadyError(Exception):
    """A gateway ended, or does not serve in time.

    The message names it and holds the last line of its output.
    """


class GatewayWait:
    """Waits for gateways of one deployment.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session of the questions.
    processes : ProcessGroup
        The processes of the gateways by name.
    """

    __slots__ = ('_http', '_processes')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        processes: ProcessGroup,
    ) -> None:
        """Ask nothing yet."""
        self._http = http
        self._processes = processes

    async def wait_all(self, members: Iterable[Member]) -> None:
        """Wait until every one of ``members`` serves with a configuration.

        Raises
        ------
        NotReadyError
            If one of them ends, or does not serve in time.
        """
        await asyncio.gather(*map(self._wait_one, members))

    async def _wait_one(self, member: Member) -> None:
        async def has_come() -> bool:
            return await self._has_come(member)

        try:
            await wait_until(has_come)
        except TimeoutError as late:
            raise self._explain(member, 'does not serve') from late

    async def _has_come(self, member: Member) -> bool:
        url = f'http://{member.caller_address}/readyz'
        if await is_ok(self._http, url):
            return True
        child = self._processes.get(member.name)
        if child.process.returncode is not None:
            raise self._explain(member, 'has ended')
        return False

    def _explain(self, member: Member, seen: str) -> NotReadyError:
        last = self._processes.read_last_line(member.name)
        return NotReadyError(f'{member.name} {seen}: {last}')
