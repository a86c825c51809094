"""The list of vms, arranged for the questions asked of it."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

from baobabhinge_platform.machines import Role, Vm


class VmIndex:
    """One reading of the list of vms.

    Parameters
    ----------
    vms : iterable of Vm
        Every listed vm.

    Attributes
    ----------
    by_name : dict of str to Vm
        Every vm by its name.
    """

    __slots__ = ('_backends', '_gateways', '_regional', 'by_name')

    def __init__(self, vms: Iterable[Vm] = ()) -> None:
        """Arrange the vms."""
        self.by_name = {vm.name: vm for vm in vms}
        self._gateways: dict[str, list[Vm]] = defaultdict(list)
        self._regional: dict[str, list[Vm]] = defaultdict(list)
        self._backends: dict[tuple[str, str], list[Vm]] = defaultdict(list)
        for vm in self.by_name.values():
            self._add(vm)

    def list_gateways(self, region: str) -> Sequence[Vm]:
        """Return the gateways of one region, leaving ones too."""
        return self._gateways.get(region, [])

    def list_gateway_regions(self) -> Sequence[str]:
        """Return the regions in which a gateway is listed."""
        return list(self._gateways)

    def list_backends(self, service: str, region: str) -> Sequence[Vm]:
        """Return the backend servers of one service in one region."""
        return self._backends.get((service, region), [])

    def list_region_backends(self, region: str) -> Sequence[Vm]:
        """Return the backend servers of one region."""
        return self._regional.get(region, [])

    def _add(self, vm: Vm) -> None:
        if vm.role is Role.gateway:
            self._gateways[vm.region].append(vm)
            return
        self._regional[vm.region].append(vm)
        self._backends[vm.service, vm.region].append(vm)
