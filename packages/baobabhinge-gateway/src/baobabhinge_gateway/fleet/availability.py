"""Whether a vm takes new work."""

from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet.reports import LoadReports
from baobabhinge_platform.machines import Vm, VmState


class Availability:
    """Combine the list of vms, the load reports and the operators' drains.

    Parameters
    ----------
    reports : LoadReports
        Load of the backend servers of this region.
    active : ActiveConfiguration
        Configuration in force.
    """

    __slots__ = ('_active', '_reports')

    def __init__(
        self,
        reports: LoadReports,
        active: ActiveConfiguration,
    ) -> None:
        """Keep the parts."""
        self._reports = reports
        self._active = active

    def accepts_work(self, vm: Vm) -> bool:
        """Tell whether a backend server takes new work."""
        if vm.state is not VmState.live or self.is_drained(vm):
            return False
        report = self._reports.find(vm)
        return report is None or not report.draining

    def is_drained(self, vm: Vm) -> bool:
        """Tell whether operators drain ``vm``."""
        settings = self._active.find_settings()
        return settings is not None and settings.is_drained(vm.name)
