"""Discovery of the targets of a call."""

from collections.abc import Sequence

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.routing.in_flight import InFlightCounter
from baobabhinge_gateway.routing.targets import RoutingTarget
from baobabhinge_platform.machines import Vm


class TargetFinder:
    """List the targets of calls that arrive in the local region.

    Parameters
    ----------
    fleet : FleetView
        Known vms, and the local region.
    in_flight : InFlightCounter
        Calls that this gateway has in flight by vm.
    """

    __slots__ = ('_fleet', '_in_flight', '_region')

    def __init__(self, fleet: FleetView, in_flight: InFlightCounter) -> None:
        """Store the collaborators; vms are listed for each call."""
        self._fleet = fleet
        self._in_flight = in_flight
        self._region = fleet.own.region

    def list_targets(self, call: Call) -> list[RoutingTarget]:
        """Return every target to which ``call`` may be sent.

        A call that has passed another gateway stays in the local region.
        """
        local = []
        if call.terms.allows(self._region):
            local = self._list_local(call)
        if len(call.hops.hops) > 1:
            return local
        return local + self._list_remote(call)

    def list_local_servers(self, call: Call) -> Sequence[Vm]:
        """Return the local backend servers of the service of ``call``."""
        return self._fleet.list_backends(call.service.name, self._region)

    def _list_local(self, call: Call) -> list[RoutingTarget]:
        return [
            self._build_target(vm, is_remote=False)
            for vm in self.list_local_servers(call)
            if self._fleet.has_loaded(vm, call.model)
        ]

    def _list_remote(self, call: Call) -> list[RoutingTarget]:
        return [
            self._build_target(vm, is_remote=True)
            for vm in self._fleet.list_gateways()
            if vm.region != self._region
            and call.terms.allows(vm.region)
            and call.service.is_placed_in(vm.region, call.model.version)
            and not call.hops.has_region(vm.region)
        ]

    def _build_target(self, vm: Vm, *, is_remote: bool) -> RoutingTarget:
        return RoutingTarget(vm, is_remote, self._in_flight.count(vm.name))
