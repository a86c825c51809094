"""Membership of one gateway: its heartbeats, addresses and paths."""

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
from baobabhinge_gateway.peers.addresses import PeerAddresses
from baobabhinge_gateway.peers.client import PeerClient
from baobabhinge_gateway.peers.heartbeat_parts import HeartbeatParts
from baobabhinge_gateway.peers.routes import DocumentRoutes, PeerRoutes
from baobabhinge_gateway.peers.transport import PeerTransport
from baobabhinge_gateway.route_group import RouteGroup

TIMING = MembershipTiming()


class PeerNode:
    """One gateway as a member of the group of gateways.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    fleet : FleetService
        Known vms and members, and the identity of this gateway.
    active : ActiveConfiguration
        Configuration in force.
    clock : Clock
        Clock of the membership protocol.
    random : Random
        Chooses the gateways that get heartbeats.

    Attributes
    ----------
    addresses : PeerAddresses
        Resolves the addresses of gateways.
    client : PeerClient
        Sends other requests than heartbeats.
    members : MembershipView
        Known gateways.
    parts : HeartbeatParts
        Payloads of the heartbeats.
    prober : Prober
        Sends heartbeats.
    routes : tuple of RouteGroup
        Paths that are served to other gateways.
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
        """Build the components; nothing is sent."""
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
        self.routes: tuple[RouteGroup, ...] = (
            PeerRoutes(protocol, self.prober, transport.traffic),
            DocumentRoutes(active, fleet.watcher),
        )

    def add_routes(self, routes: RouteGroup) -> None:
        """Add paths for other gateways; call it before the listener starts."""
        self.routes = (*self.routes, routes)
