"""What the parts for run-once calls work with."""

from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce import Party, RunOnceKey
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.runonce.peer_client import RunOncePeerClient
from baobabhinge_platform.machines import Vm


class RunOnceContext:
    """Surroundings of one gateway.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    fleet : FleetView
        Known vms.
    clock : Clock
        Clock of deadlines and ages.
    random : Random
        Generator of keys; one that can't be predicted.

    Attributes
    ----------
    http, fleet, clock, random
        The parameters.
    peers : RunOncePeerClient
        Client of the run-once paths of other gateways.
    """

    __slots__ = ('clock', 'fleet', 'http', 'peers', 'random')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        fleet: FleetView,
        clock: Clock,
        random: Random,
    ) -> None:
        """Keep the parts."""
        self.http = http
        self.fleet = fleet
        self.clock = clock
        self.random = random
        self.peers = RunOncePeerClient(http)

    def find_party_gateway(
        self, key: RunOnceKey, party: Party | None
    ) -> Vm | None:
        """Return the gateway of ``party``, the owner or witness of ``key``.

        Callers can write any key, so a gateway outside the region of the key
        is none of its parties: nothing of the call, and no digest of it, goes
        there.

        Returns
        -------
        Vm or None
            ``None`` if there is no such gateway in the region of the key.
        """
        if party is None:
            return None
        vm = self.fleet.find_gateway(party.vm)
        if vm is None or vm.region != key.region:
            return None
        return vm
