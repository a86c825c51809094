"""The list of vms of a deployment."""

import asyncio

from baobabhinge_standins.control import ControlClient
from baobabhinge_standins.fleet.members import Member, Roster
from baobabhinge_standins.fleet.views import Views


class VmLists:
    """The list of vms, written for each gateway.

    Parameters
    ----------
    roster : Roster
        Members of the deployment.
    views : Views
        Addresses at which gateways reach them.
    lists : ControlClient
        Stand-in that serves the lists.
    """

    __slots__ = ('_lists', '_roster', '_views')

    def __init__(
        self,
        roster: Roster,
        views: Views,
        lists: ControlClient,
    ) -> None:
        """Keep the parts; nothing is written."""
        self._roster = roster
        self._views = views
        self._lists = lists

    async def publish(self) -> None:
        """Write the lists as the roster stands."""
        members = self._roster.list_all()
        viewers = [member for member in members if member.caller_port]
        await asyncio.gather(*map(self._write, viewers))

    async def set_state(self, name: str, state: str) -> None:
        """Write the lists with ``live`` or ``leaving`` for one vm."""
        self._roster.get(name).state = state
        await self.publish()

    async def remove(self, name: str) -> None:
        """Write the lists without one vm."""
        self._roster.remove(name)
        await self.publish()

    async def _write(self, viewer: Member) -> None:
        members = self._roster.list_all()
        await self._views.open_links(viewer, members)
        listed = [
            member.render_target(
                self._views.get_address(viewer, member),
                self._views.get_caller_address(member),
            )
            for member in members
        ]
        await self._lists.send('PUT', f'vms/{viewer.name}', listed)
