"""Gateways as the list of vms and the gateways themselves tell them."""

from collections.abc import Sequence

from baobabhinge_coordination.membership import (
    MembershipView,
    MemberState,
)
from baobabhinge_gateway.fleet.index import VmIndex
from baobabhinge_gateway.fleet.own_record import convert_member
from baobabhinge_platform.machines import Vm, VmState


class KnownGateways:
    """Combine the list of vms and the membership.

    The list of vms lags, so once a gateway of a region is known to live, that
    region's membership says which gateways there are. Before that, the list
    is all there is. A gateway that the list says is leaving is left out.

    Parameters
    ----------
    members : MembershipView
        Known gateways.
    """

    __slots__ = ('_members',)

    def __init__(self, members: MembershipView) -> None:
        """Keep the membership."""
        self._members = members

    def list_available(self, region: str, index: VmIndex) -> Sequence[Vm]:
        """Return the gateways of one region that take new calls.

        Parameters
        ----------
        region : str
            The region.
        index : VmIndex
            The list of vms as last seen.
        """
        listed = {vm.name: vm for vm in index.list_gateways(region)}
        for member in self._members.table.list_region(region):
            if member.region == self._members.own.region:
                listed.setdefault(member.name, convert_member(member))
        return [vm for vm in listed.values() if self._takes_calls(vm)]

    def find_member(self, name: str) -> Vm | None:
        """Return a gateway of this region that its membership knows."""
        region = self._members.own.region
        member = self._members.table.find(name, region)
        return convert_member(member) if member else None

    def find_incarnation(self, name: str) -> str | None:
        """Return the present start of a gateway of this region, if known."""
        own = self._members.own
        member = self._members.table.find(name, own.region)
        return None if member is None else member.incarnation

    def list_states(self) -> dict[str, str]:
        """Return the states of the gateways of the own region by name."""
        members = self._members.table.list_region(self._members.own.region)
        return {member.name: member.state.name for member in members}

    def list_regions(self, index: VmIndex) -> Sequence[str]:
        """Return the regions in which a gateway is known."""
        known = self._members.table.list_regions()
        return sorted({*known, *index.list_gateway_regions()})

    def _takes_calls(self, vm: Vm) -> bool:
        if vm.state is not VmState.live:
            return False
        member = self._members.table.find(vm.name, vm.region)
        if member is None:
            return not _has_met(self._members, vm.region)
        return member.state is MemberState.alive


def _has_met(members: MembershipView, region: str) -> bool:
    return any(
        member.name != members.own.name and member.state is MemberState.alive
        for member in members.table.list_region(region)
    )
