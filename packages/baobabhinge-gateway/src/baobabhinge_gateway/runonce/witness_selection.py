"""Choosing witnesses."""

from collections.abc import Sequence
from random import Random

from baobabhinge_coordination.runonce import Party
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_platform.machines import Vm


class WitnessSelector:
    """Order the gateways that can witness for this one.

    Parameters
    ----------
    fleet : FleetView
        Known vms.
    random : Random
        Generator that spreads owners over witnesses.
    """

    __slots__ = ('_fleet', '_random')

    def __init__(self, fleet: FleetView, random: Random) -> None:
        """Keep the parts."""
        self._fleet = fleet
        self._random = random

    def is_live(self, witness: Party | None) -> bool:
        """Tell whether ``witness`` is known to live."""
        if witness is None:
            return False
        present = self._fleet.known_gateways.find_incarnation(witness.vm)
        if present not in {None, witness.incarnation}:
            return False
        near = self._fleet.list_gateways(self._fleet.home.region)
        return witness.vm in {vm.name for vm in near}

    def list_candidates(self) -> Sequence[Vm]:
        """Return other gateways of the region, other failure domains first."""
        home = self._fleet.home
        near = self._fleet.list_gateways(home.region)
        domains = {vm.failure_domain for vm in near if vm.name == home.gateway}
        others = [vm for vm in near if vm.name != home.gateway]
        shuffled = self._random.sample(others, len(others))
        return sorted(shuffled, key=lambda vm: vm.failure_domain in domains)
