"""Gateways known from the list of vms and from the membership."""

from collections.abc import Sequence

from baobabhinge_coordination.membership import (
    MembershipView,
    MemberState,
)
from baobabhinge_gateway.fleet.index import VmIndex
from baobabhinge_gateway.fleet.own_record import convert_member
from baobabhinge_platform.machines import Vm, VmState


class KnownGateways:
    """Combine the list of vms with the membership.

    The list of vms lags behind, so the membership of a region decides which
    gateways are available as soon as another gateway there is known to be
    alive. Until then, the list decides. A gateway that is listed as leaving
    is never available.

    Parameters
    ----------
    members : MembershipView
        Membership as seen by this gateway.
    """

    __slots__ = ('_members',)

    def __init__(self, members: MembershipView) -> None:
        """Store the membership."""
        self._members = members

    def list_available(self, region: str, index: VmIndex) -> Sequence[Vm]:
        """Return the gateways of one region that accept new calls.

        Parameters
        ----------
        region : str
            Name of the region.
        index : VmIndex
            List of vms as last read.
        """
        listed = {vm.name: vm for vm in index.list_gateways(region)}
        for member in self._members.table.list_members(region):
            if member.region == self._members.own.region:
                listed.setdefault(member.name, convert_member(member))
        return [vm for vm in listed.values() if self._accepts_calls(vm)]

    def find_member(self, name: str) -> Vm | None:
        """Return a member of this region, or None if it is unknown."""
        region = self._members.own.region
        member = self._members.table.find(name, region)
        return convert_member(member) if member else None

    def find_incarnation(self, name: str) -> str | None:
        """Return the current incarnation of a member of this region."""
        own = self._members.own
        member = self._members.table.find(name, own.region)
        return None if member is None else member.incarnation

    def list_states(self) -> dict[str, str]:
        """Return the states of the members of this region by name."""
        members = self._members.table.list_members(self._members.own.region)
        return {member.name: member.state.name for member in members}

    def list_regions(self, index: VmIndex) -> Sequence[str]:
        """Return the regions in which a gateway is listed or a member."""
        known = self._members.table.list_regions()
        return sorted({*known, *index.list_gateway_regions()})

    def _accepts_calls(self, vm: Vm) -> bool:
        if vm.state is not VmState.live:
            return False
        member = self._members.table.find(vm.name, vm.region)
        if member is None:
            return not _has_live_peer(self._members, vm.region)
        return member.state is MemberState.alive


def _has_live_peer(members: MembershipView, region: str) -> bool:
    return any(
        member.name != members.own.name and member.state is MemberState.alive
        for member in members.table.list_members(region)
    )
