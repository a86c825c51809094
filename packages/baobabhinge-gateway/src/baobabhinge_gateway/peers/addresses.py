"""Addresses of other gateways."""

from collections.abc import Sequence

from baobabhinge_coordination.membership import Contact, MembershipView
from baobabhinge_gateway.fleet import VmWatcher


class PeerAddresses:
    """Find gateways in the list of vms, the settings and member records.

    A gateway is reached at the address in the list of vms of this region,
    because a proxy may stand between the regions. A gateway of the local
    region that is not listed is reached at the address in its own record.

    Parameters
    ----------
    watcher : VmWatcher
        The platform's list of vms as last read.
    members : MembershipView
        Known gateways.
    seeds : sequence of str
        ``host:port`` of gateways of the local region, from the settings.
    """

    __slots__ = ('_members', '_seeds', '_watcher')

    def __init__(
        self,
        watcher: VmWatcher,
        members: MembershipView,
        seeds: Sequence[str],
    ) -> None:
        """Store the sources of addresses."""
        self._watcher = watcher
        self._members = members
        self._seeds = seeds

    def list_contacts(self) -> Sequence[Contact]:
        """Return the gateways named by the settings or the list of vms."""
        local_region = self._members.own.region
        index = self._watcher.index
        seeds = [Contact('', local_region, address) for address in self._seeds]
        listed = [
            Contact(vm.name, vm.region, vm.address)
            for region in index.list_gateway_regions()
            for vm in index.list_gateways(region)
        ]
        return [*seeds, *listed]

    def find(self, contact: Contact) -> str | None:
        """Return ``host:port`` of a gateway, or ``None`` if it is unknown."""
        vm = self._watcher.index.by_name.get(contact.name)
        if vm is not None:
            return vm.address
        if contact.region == self._members.own.region:
            return contact.address or None
        return None
