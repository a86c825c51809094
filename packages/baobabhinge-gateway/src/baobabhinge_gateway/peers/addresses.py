"""Addresses of other gateways."""

from collections.abc import Sequence

from baobabhinge_coordination.membership import Contact, MembershipView
from baobabhinge_gateway.fleet import VmWatcher


class PeerAddresses:
    """Find gateways by the list of vms, the settings and each other.

    A gateway is reached at the address that the list of vms of this region
    gives: a proxy may stand between the regions. One of the own region that
    is not listed is reached at the address that it gives itself.

    Parameters
    ----------
    watcher : VmWatcher
        The platform's list as last seen.
    members : MembershipView
        Known gateways.
    seeds : sequence of str
        ``host:port`` of gateways of this region.
    """

    __slots__ = ('_members', '_seeds', '_watcher')

    def __init__(
        self,
        watcher: VmWatcher,
        members: MembershipView,
        seeds: Sequence[str],
    ) -> None:
        """Keep the sources."""
        self._watcher = watcher
        self._members = members
        self._seeds = seeds

    def list_contacts(self) -> Sequence[Contact]:
        """Return every gateway that the settings or the list name."""
        home = self._members.own.region
        index = self._watcher.index
        seeds = [Contact('', home, address) for address in self._seeds]
        listed = [
            Contact(vm.name, vm.region, vm.address)
            for region in index.list_gateway_regions()
            for vm in index.list_gateways(region)
        ]
        return [*seeds, *listed]

    def find(self, contact: Contact) -> str | None:
        """Return ``host:port`` of a gateway, or ``None`` if it has none."""
        vm = self._watcher.index.by_name.get(contact.name)
        if vm is not None:
            return vm.address
        if contact.region == self._members.own.region:
            return contact.address or None
        return None
