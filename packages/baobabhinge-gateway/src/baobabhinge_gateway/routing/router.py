"""Finding the targets of a call."""

from collections.abc import Sequence

from baobabhinge_gateway.calls import Call
from baobabhinge_gateway.errors import (
    ModelNotLoadedError,
    NoBackendServerError,
    RegionBoundError,
)
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.routing.counters import InFlight
from baobabhinge_gateway.routing.decisions import Decision, DecisionLog
from baobabhinge_gateway.routing.gates import Gate
from baobabhinge_gateway.routing.registry import RoutingPolicy
from baobabhinge_gateway.routing.targets import Target
from baobabhinge_platform.machines import Vm


class Router:
    """Rank the targets of calls that arrive in one region.

    Parameters
    ----------
    fleet : FleetView
        Known vms, and this gateway.
    policy : RoutingPolicy
        Order of the targets.
    in_flight : InFlight
        Calls open by vm.
    gate : Gate
        Refuses what would be answered late.
    """

    __slots__ = (
        '_fleet',
        '_gate',
        '_in_flight',
        '_policy',
        '_region',
        'decisions',
    )

    def __init__(
        self,
        fleet: FleetView,
        policy: RoutingPolicy,
        in_flight: InFlight,
        gate: Gate,
    ) -> None:
        """Keep the parts."""
        self._gate = gate
        self._region = fleet.home.region
        self._fleet = fleet
        self._policy = policy
        self._in_flight = in_flight
        self.decisions = DecisionLog()

    def decide(self, call: Call) -> Decision:
        """Return the ranked candidates of ``call``.

        Raises
        ------
        RegionBoundError
            If the call is bound to a region and can't be run there.
        NoBackendServerError
            If no backend server of the service may take it.
        ModelNotLoadedError
            If some may, and none holds the version.
        OverloadedError
            If it would be answered too late.
        WorkspaceShareError
            If its workspace has more than its share of a full service.
        """
        decision = self._policy.rank(call, self._list_targets(call))
        self.decisions.add(call.request_id, call.service.name, decision)
        if decision.candidates:
            self._gate.check(call, decision)
            return decision
        if call.terms.regions is not None:
            raise RegionBoundError('the bound region has no backend server')
        if not decision.blocked and self._list_regional(call):
            raise ModelNotLoadedError('no engine has loaded the version')
        raise NoBackendServerError('no backend server may take the call now')

    def _list_targets(self, call: Call) -> list[Target]:
        local = []
        if call.terms.allows(self._region):
            local = self._list_local(call)
        if len(call.hops.hops) > 1:
            return local
        return local + self._list_remote(call)

    def _list_local(self, call: Call) -> list[Target]:
        return [
            self._build_target(vm, is_remote=False)
            for vm in self._list_regional(call)
            if self._fleet.has_loaded(vm, call.model)
        ]

    def _list_regional(self, call: Call) -> Sequence[Vm]:
        return self._fleet.list_backends(call.service.name, self._region)

    def _list_remote(self, call: Call) -> list[Target]:
        return [
            self._build_target(vm, is_remote=True)
            for vm in self._fleet.list_gateways()
            if vm.region != self._region
            and call.terms.allows(vm.region)
            and call.service.is_placed_in(vm.region, call.model.version)
            and not call.hops.has_region(vm.region)
        ]

    def _build_target(self, vm: Vm, *, is_remote: bool) -> Target:
        return Target(vm, is_remote, self._in_flight.count(vm.name))
