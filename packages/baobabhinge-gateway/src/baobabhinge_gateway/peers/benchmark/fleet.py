"""Gateways that only exchange heartbeats."""

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
from baobabhinge_gateway.process import Identity, PlatformAddresses
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
    """The heartbeats of one gateway with its share of load reports.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    identity : Identity
        Names and addresses.
    clock : Clock
        Clock of the incarnation.
    random : Random
        Choice of the gateways to speak to.

    Attributes
    ----------
    fleet : FleetService
        What it knows; its services are not started.
    node : PeerNode
        What speaks to the others.
    """

    __slots__ = ('_share', 'fleet', 'node')

    def __init__(
        self,
        http: aiohttp.ClientSession,
        identity: Identity,
        clock: Clock,
        random: Random,
    ) -> None:
        """Put the parts together."""
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
        self._share: list[Vm] = []

    def assign_backends(self, vms: tuple[Vm, ...], share: list[Vm]) -> None:
        """Know ``vms`` and poll ``share`` of them."""
        self.fleet.watcher.adopt(vms)
        self._share = share

    def simulate_poll(self, random: Random) -> None:
        """Take a fresh report of each backend server of the share."""
        for vm in self._share:
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
    """Return the gateways of one region with its backend servers."""
    gateways = [
        BenchmarkGateway(
            http,
            _identify(FIRST_PORT + number),
            clock or SystemClock(),
            Random(seed + number),
        )
        for number in range(count)
    ]
    _assign_backends(gateways)
    return gateways


def _identify(port: int) -> Identity:
    return Identity(
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
        share = itertools.islice(vms, number, None, len(gateways))
        gateway.assign_backends(vms, list(share))
