"""What this gateway knows about the vms around it."""

from collections.abc import Sequence

from baobabhinge_coordination.membership import MembershipView
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.calls.models import ModelName
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet.availability import Availability
from baobabhinge_gateway.fleet.digests import digest_name
from baobabhinge_gateway.fleet.gateways import KnownGateways
from baobabhinge_gateway.fleet.reports import LoadReport, LoadReports
from baobabhinge_gateway.fleet.watcher import VmWatcher
from baobabhinge_platform.machines import Vm


class FleetView:
    """Queries over the list of vms and the load reports.

    Parameters
    ----------
    home : Hop
        This gateway.
    watcher : VmWatcher
        The platform's list as last seen.
    reports : LoadReports
        Load of the backend servers of this region.
    members : MembershipView
        Gateways as they tell each other.
    active : ActiveConfiguration
        Tells which vms operators drain.

    Attributes
    ----------
    home : Hop
        This gateway.
    known_gateways : KnownGateways
        Gateways as the list and they themselves tell them.
    """

    __slots__ = (
        '_availability',
        '_reports',
        '_watcher',
        'home',
        'known_gateways',
    )

    def __init__(
        self,
        home: Hop,
        watcher: VmWatcher,
        reports: LoadReports,
        members: MembershipView,
        active: ActiveConfiguration,
    ) -> None:
        """Keep the parts."""
        self.home = home
        self.known_gateways = KnownGateways(members)
        self._availability = Availability(reports, active)
        self._watcher = watcher
        self._reports = reports

    def list_backends(self, service: str, region: str) -> Sequence[Vm]:
        """Return the backend servers of ``service`` that take new work.

        Leaving ones, those that report to be draining and those that
        operators drain are left out.
        """
        return [
            vm
            for vm in self._watcher.index.list_backends(service, region)
            if self._availability.accepts_work(vm)
        ]

    def has_loaded(self, vm: Vm, model: ModelName) -> bool:
        """Tell whether an engine is known to hold the version of ``model``.

        Every engine of a service without versions does.
        """
        if not model.version:
            return True
        return self._reports.has_model(vm, digest_name(model.render()))

    def list_local_backends(self) -> Sequence[Vm]:
        """Return every backend server of this region, leaving ones too."""
        return self._watcher.index.list_region_backends(self.home.region)

    def list_gateways(self, region: str | None = None) -> Sequence[Vm]:
        """Return the gateways of one region, or of all, that take calls.

        Dead, suspected, leaving and draining ones are left out.
        """
        index = self._watcher.index
        regions = self.known_gateways.list_regions(index)
        if region is not None:
            regions = [region]
        return [
            vm
            for name in regions
            for vm in self.known_gateways.list_available(name, index)
            if not self._availability.is_drained(vm)
        ]

    def find_gateway(self, name: str) -> Vm | None:
        """Return the gateway called ``name``, live or leaving."""
        listed = self._watcher.index.by_name.get(name)
        return listed or self.known_gateways.find_member(name)

    def find_report(self, vm: Vm) -> LoadReport | None:
        """Return the newest load report of ``vm``, if one is known."""
        return self._reports.find(vm)
