"""What the parts for run-once calls work with."""

from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.runonce.peerclient import PeerClient


class Environment:
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
    peers : PeerClient
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
        self.peers = PeerClient(http)
