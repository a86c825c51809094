"""The parts with which one gateway speaks to the others."""

from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership import (
    MembershipProtocol,
    MembershipTiming,
    Prober,
)
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetService
from baobabhinge_gateway.paths import Routes
from baobabhinge_gateway.peers.addresses import PeerAddresses
from baobabhinge_gateway.peers.client import PeerClient
from baobabhinge_gateway.peers.heartbeat_parts import HeartbeatParts
from baobabhinge_gateway.peers.routes import DocumentRoutes, PeerRoutes
from baobabhinge_gateway.peers.transport import PeerTransport

TIMING = MembershipTiming()


class PeerNode:
    """One gateway among its peers.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    fleet : FleetService
        What is known about the fleet.
    active : ActiveConfiguration
        Configuration in force.
    clock : Clock
        Clock of the periods.
    random : Random
        Choice of the gateways to speak to.

    Attributes
    ----------
    addresses : PeerAddresses
        Finder of addresses.
    client : PeerClient
        Fetcher of documents.
    members : MembershipView
        Known gateways.
    parts : HeartbeatParts
        Payloads of the heartbeats.
    prober : Prober
        Sender of heartbeats.
    routes : tuple of Routes
        Paths by which the others come.
    """

    __slots__ = (
        'addresses',
        'client',
        'members',
        'parts',
        'prober',
        'routes',
    )

    def __init__(
        self,
        http: aiohttp.ClientSession,
        fleet: FleetService,
        active: ActiveConfiguration,
        clock: Clock,
        random: Random,
    ) -> None:
        """Put the parts together; nothing is sent."""
        members = fleet.members
        region = members.own.region
        self.addresses = PeerAddresses(
            fleet.watcher,
            members,
            fleet.identity.list_seeds(),
        )
        self.client = PeerClient(http, self.addresses)
        self.members = members
        self.parts = HeartbeatParts(region)
        transport = PeerTransport(
            http,
            region,
            self.addresses,
            TIMING.probe_timeout,
        )
        protocol = MembershipProtocol(
            members, self.parts, clock, random, TIMING
        )
        self.prober = Prober(protocol, transport, clock, random, TIMING)
        self.routes: tuple[Routes, ...] = (
            PeerRoutes(protocol, self.prober, transport.traffic),
            DocumentRoutes(active, fleet.watcher),
        )

    def add_routes(self, routes: Routes) -> None:
        """Serve more paths to the other gateways; before any is served."""
        self.routes = (*self.routes, routes)
