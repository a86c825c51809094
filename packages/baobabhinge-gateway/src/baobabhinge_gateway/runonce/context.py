"""Collaborators that the run-once classes of a gateway share."""

from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.runonce import Party, RunOnceKey
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.runonce.peer_client import RunOncePeerClient
from baobabhinge_platform.machines import Vm


class RunOnceContext:
    """Shared collaborators of the run-once classes.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    fleet : FleetView
        Gateways and backend servers that are known.
    clock : Clock
        Clock of deadlines and of the ages of keys and epochs.
    random : Random
        Source of keys; it must be unpredictable.

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
        """Create the peer client; it shares the session."""
        self.http = http
        self.fleet = fleet
        self.clock = clock
        self.random = random
        self.peers = RunOncePeerClient(http)

    def find_party_gateway(
        self, key: RunOnceKey, party: Party | None
    ) -> Vm | None:
        """Return the gateway of ``party``, the owner or witness of ``key``.

        Callers can send any key, so a gateway outside the region of the key is
        not accepted as a party: neither the call nor a digest of it may be
        sent there.

        Returns
        -------
        Vm or None
            ``None`` if the region of the key has no such gateway.
        """
        if party is None:
            return None
        vm = self.fleet.find_gateway(party.vm)
        if vm is None or vm.region != key.region:
            return None
        return vm
