"""The parts with which one gateway speaks to the others."""

from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership import (
    MembershipProtocol,
    MembershipTiming,
    Prober,
)
from baobabhinge_gateway.fleet import FleetService
from baobabhinge_gateway.peers.addresses import PeerAddresses
from baobabhinge_gateway.peers.parts import HeartbeatParts
from baobabhinge_gateway.peers.routes import PeerRoutes
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
    clock : Clock
        Clock of the periods.
    random : Random
        Choice of the gateways to speak to.

    Attributes
    ----------
    addresses : PeerAddresses
        Finder of addresses.
    members : MembershipView
        Known gateways.
    parts : HeartbeatParts
        Payloads of the heartbeats.
    prober : Prober
        Sender of heartbeats.
    routes : PeerRoutes
        Paths by which the others come.
    transport : PeerTransport
        The way to the others.
    """

    __slots__ = (
        'addresses',
        'members',
        'parts',
        'prober',
        'routes',
        'transport',
    )

    def __init__(
        self,
        http: aiohttp.ClientSession,
        fleet: FleetService,
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
        self.members = members
        self.parts = HeartbeatParts(region)
        self.transport = PeerTransport(
            http,
            region,
            self.addresses,
            TIMING.probe_timeout,
        )
        protocol = MembershipProtocol(
            members, self.parts, clock, random, TIMING
        )
        self.prober = Prober(protocol, self.transport, clock, random, TIMING)
        self.routes = PeerRoutes(protocol, self.prober, self.transport.traffic)
