"""Benchmark gateways, which only exchange heartbeats."""

import itertools
from datetime import timedelta
from random import Random

import aiohttp

from baobabhinge_coordination.clock import Clock, SystemClock
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.fleet import FleetService, LoadReport, LoadReportPart
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.peers.node import PeerNode
from baobabhinge_gateway.platform import Platform
from baobabhinge_gateway.process import GatewayIdentity, PlatformAddresses
from baobabhinge_platform.machines import Role, Vm

MODELS = frozenset((b'one', b'two'))
UNUSED_URL = 'http://127.0.0.1:1'
ADDRESSES = PlatformAddresses(UNUSED_URL, UNUSED_URL, UNUSED_URL)
SLOTS_PER_BACKEND = 64
POLL_INTERVAL = timedelta(seconds=1)
REGION = 'west'
HOST = '127.0.0.1'
FIRST_PORT = 21_000
BACKENDS_PER_GATEWAY = 3


class BenchmarkGateway:
    """One gateway that sends heartbeats with load reports.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    identity : GatewayIdentity
        Names and addresses of the gateway.
    clock : Clock
        Clock of the membership protocol and of the load reports.
    random : Random
        Chooses the gateways that get heartbeats.

    Attributes
    ----------
    fleet : FleetService
        Known vms, members and reports; its services are not started.
    node : PeerNode
        Sends and answers heartbeats.
    """

    __slots__ = ('_assigned', 'fleet', 'node')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        identity: GatewayIdentity,
        clock: Clock,
        random: Random,
    ) -> None:
        """Build the components; no backend server is assigned."""
        active = ActiveConfiguration()
        lifecycle = Lifecycle(clock)
        platform = Platform(http, ADDRESSES, identity.region)
        self.fleet = FleetService(
            identity,
            lifecycle,
            platform,
            active,
            clock,
        )
        self.node = PeerNode(http, self.fleet, active, clock, random)
        part = LoadReportPart(self.fleet.view, self.fleet.reports)
        self.node.parts.add(part)
        self._assigned: list[Vm] = []

    def assign_backends(self, vms: tuple[Vm, ...], assigned: list[Vm]) -> None:
        """Set the list of vms and those whose load this gateway reports."""
        self.fleet.watcher.adopt(vms)
        self._assigned = assigned

    def simulate_poll(self, random: Random) -> None:
        """Record a random load report of each assigned backend server."""
        for vm in self._assigned:
            report = LoadReport(
                random.randrange(SLOTS_PER_BACKEND),
                random.randrange(SLOTS_PER_BACKEND),
                SLOTS_PER_BACKEND,
                draining=False,
                age=timedelta(),
                models=MODELS,
            )
            self.fleet.reports.put(vm.name, report)


def build_gateways(
    http: aiohttp.ClientSession,
    count: int,
    seed: int,
    clock: Clock | None = None,
) -> list[BenchmarkGateway]:
    """Return ``count`` gateways of one region with backend servers."""
    gateways = [
        BenchmarkGateway(
            http,
            _build_identity(FIRST_PORT + number),
            clock or SystemClock(),
            Random(seed + number),
        )
        for number in range(count)
    ]
    _assign_backends(gateways)
    return gateways


def _build_identity(port: int) -> GatewayIdentity:
    return GatewayIdentity(
        f'{REGION}-gateway-{port}',
        REGION,
        f'{REGION}-a',
        f'{HOST}:{port}',
        f'{HOST}:{port}',
        f'{HOST}:{FIRST_PORT}',
    )


def _assign_backends(gateways: list[BenchmarkGateway]) -> None:
    vms = tuple(
        Vm(
            f'{REGION}-engine-{number}',
            f'{HOST}:{number}',
            REGION,
            f'{REGION}-a',
            Role.engine,
        )
        for number in range(len(gateways) * BACKENDS_PER_GATEWAY)
    )
    for number, gateway in enumerate(gateways):
        assigned = itertools.islice(vms, number, None, len(gateways))
        gateway.assign_backends(vms, list(assigned))
