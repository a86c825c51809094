"""Queries over all vms known to this gateway."""

from collections.abc import Sequence

from baobabhinge_coordination.membership import MembershipView
from baobabhinge_gateway.calls import Hop
from baobabhinge_gateway.calls.model_names import ModelName
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet.availability import Availability
from baobabhinge_gateway.fleet.digests import digest_name
from baobabhinge_gateway.fleet.gateways import KnownGateways
from baobabhinge_gateway.fleet.reports import LoadReport, LoadReports
from baobabhinge_gateway.fleet.watcher import VmWatcher
from baobabhinge_platform.machines import Vm


class FleetView:
    """Queries over the list of vms, the membership and the load reports.

    Parameters
    ----------
    own : Hop
        Name and region of this gateway.
    watcher : VmWatcher
        List of vms as last read from the platform.
    reports : LoadReports
        Load of the backend servers of this region.
    members : MembershipView
        Membership of the gateways.
    active : ActiveConfiguration
        Configuration in force, which names the vms to drain.

    Attributes
    ----------
    own : Hop
        Name and region of this gateway.
    known_gateways : KnownGateways
        Gateways known from the list and from the membership.
    """

    __slots__ = (
        '_availability',
        '_reports',
        '_watcher',
        'known_gateways',
        'own',
    )

    def __init__(
        self,
        own: Hop,
        watcher: VmWatcher,
        reports: LoadReports,
        members: MembershipView,
        active: ActiveConfiguration,
    ) -> None:
        """Combine the sources of the view."""
        self.own = own
        self.known_gateways = KnownGateways(members)
        self._availability = Availability(reports, active)
        self._watcher = watcher
        self._reports = reports

    def list_backends(self, service: str, region: str) -> Sequence[Vm]:
        """Return the backend servers of ``service`` that accept new work.

        Leaving ones, those that report draining and those that operators
        drain are left out.
        """
        return [
            vm
            for vm in self._watcher.index.list_backends(service, region)
            if self._availability.accepts_work(vm)
        ]

    def has_loaded(self, vm: Vm, model: ModelName) -> bool:
        """Return whether an engine is known to have loaded ``model``.

        Always true for a model without a version.
        """
        if not model.version:
            return True
        return self._reports.has_model(vm, digest_name(model.render()))

    def list_local_backends(self) -> Sequence[Vm]:
        """Return all backend servers of this region, including leaving ones."""
        return self._watcher.index.list_region_backends(self.own.region)

    def list_gateways(self, region: str | None = None) -> Sequence[Vm]:
        """Return the gateways of one or all regions that accept calls.

        Dead, suspect, leaving and draining ones are left out.
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
        """Return the gateway named ``name``, live or leaving."""
        listed = self._watcher.index.by_name.get(name)
        return listed or self.known_gateways.find_member(name)

    def find_report(self, vm: Vm) -> LoadReport | None:
        """Return the newest load report of ``vm`` within its lifetime."""
        return self._reports.find(vm)
