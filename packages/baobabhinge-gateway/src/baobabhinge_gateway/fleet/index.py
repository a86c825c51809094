"""Index of the list of vms by name, role, region and service."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from baobabhinge_platform.machines import Role, Vm


class VmIndex:
    """Index of one snapshot of the list of vms.

    Parameters
    ----------
    vms : iterable of Vm
        All listed vms.

    Attributes
    ----------
    by_name : dict of str to Vm
        All vms by name.
    """

    __slots__ = ('_backends', '_gateways', '_regional', 'by_name')

    def __init__(self, vms: Iterable[Vm] = ()) -> None:
        """Index ``vms``."""
        self.by_name = {vm.name: vm for vm in vms}
        self._gateways: dict[str, list[Vm]] = defaultdict(list)
        self._regional: dict[str, list[Vm]] = defaultdict(list)
        self._backends: dict[tuple[str, str], list[Vm]] = defaultdict(list)
        for vm in self.by_name.values():
            self._add(vm)

    def list_gateways(self, region: str) -> Sequence[Vm]:
        """Return the gateways of one region, including leaving ones."""
        return self._gateways.get(region, [])

    def list_gateway_regions(self) -> Sequence[str]:
        """Return the regions in which a gateway is listed."""
        return list(self._gateways)

    def list_backends(self, service: str, region: str) -> Sequence[Vm]:
        """Return the backend servers of one service in one region.

        Leaving ones are included.
        """
        return self._backends.get((service, region), [])

    def list_region_backends(self, region: str) -> Sequence[Vm]:
        """Return all backend servers of one region, including leaving ones."""
        return self._regional.get(region, [])

    def _add(self, vm: Vm) -> None:
        if vm.role is Role.gateway:
            self._gateways[vm.region].append(vm)
            return
        self._regional[vm.region].append(vm)
        self._backends[vm.service, vm.region].append(vm)
