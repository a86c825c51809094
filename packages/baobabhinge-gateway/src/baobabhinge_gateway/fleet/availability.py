"""Availability of vms for new work."""

from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet.reports import LoadReports
from baobabhinge_platform.machines import Vm, VmState


class Availability:
    """Combine the states of vms, their load reports and operators' drains.

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
        """Store the sources of the state of a vm."""
        self._reports = reports
        self._active = active

    def accepts_work(self, vm: Vm) -> bool:
        """Return whether a backend server accepts new work.

        A backend server without a load report does.
        """
        if vm.state is not VmState.live or self.is_drained(vm):
            return False
        report = self._reports.find(vm)
        return report is None or not report.draining

    def is_drained(self, vm: Vm) -> bool:
        """Return whether operators drain ``vm``."""
        settings = self._active.find_settings()
        return settings is not None and settings.is_drained(vm.name)
