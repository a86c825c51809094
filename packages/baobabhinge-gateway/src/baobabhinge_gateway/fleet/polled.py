"""The backend servers that this gateway polls."""

from collections.abc import Sequence

from baobabhinge_gateway.fleet.shares import pick_owner
from baobabhinge_gateway.fleet.view import FleetView
from baobabhinge_platform.machines import Vm


def list_share(fleet: FleetView) -> Sequence[Vm]:
    """Return the backend servers that this gateway is to poll."""
    names = [vm.name for vm in fleet.list_gateways(fleet.home.region)]
    candidates = {*names, fleet.home.gateway}
    return [
        vm
        for vm in fleet.list_polled()
        if pick_owner(vm.name, candidates) == fleet.home.gateway
    ]
