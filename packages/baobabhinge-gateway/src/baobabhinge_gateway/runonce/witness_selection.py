"""Selection of witnesses."""

from collections.abc import Sequence
from random import Random

from baobabhinge_coordination.runonce import Party
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_platform.machines import Vm


class WitnessSelector:
    """Select the gateways that can be witnesses of this one.

    Parameters
    ----------
    fleet : FleetView
        Gateways that are known.
    random : Random
        Shuffles candidates, which spreads owners over witnesses.
    """

    __slots__ = ('_fleet', '_random')

    def __init__(self, fleet: FleetView, random: Random) -> None:
        """Store the collaborators."""
        self._fleet = fleet
        self._random = random

    def is_live(self, witness: Party | None) -> bool:
        """Return whether ``witness`` is a listed gateway of the region.

        A known incarnation that differs means that the witness has ended.
        """
        if witness is None:
            return False
        current = self._fleet.known_gateways.find_incarnation(witness.vm)
        if current not in {None, witness.incarnation}:
            return False
        gateways = self._fleet.list_gateways(self._fleet.own.region)
        return witness.vm in {vm.name for vm in gateways}

    def list_candidates(self) -> Sequence[Vm]:
        """Return the other gateways of the region in random order.

        Those outside the failure domain of this gateway come first.
        """
        own = self._fleet.own
        gateways = self._fleet.list_gateways(own.region)
        domains = {
            vm.failure_domain for vm in gateways if vm.name == own.gateway
        }
        candidates = [vm for vm in gateways if vm.name != own.gateway]
        shuffled = self._random.sample(candidates, len(candidates))
        return sorted(shuffled, key=lambda vm: vm.failure_domain in domains)
