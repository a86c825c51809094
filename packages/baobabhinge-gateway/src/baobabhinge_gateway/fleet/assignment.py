"""Assignment of backend servers to the gateways that poll them."""

from collections.abc import Sequence

from baobabhinge_gateway.fleet.rendezvous import pick_owner
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_platform.machines import Vm


def list_assigned(fleet: FleetView) -> Sequence[Vm]:
    """Return the backend servers of this region that this gateway polls."""
    names = [vm.name for vm in fleet.list_gateways(fleet.own.region)]
    candidates = {*names, fleet.own.gateway}
    return [
        vm
        for vm in fleet.list_local_backends()
        if pick_owner(vm.name, candidates) == fleet.own.gateway
    ]
