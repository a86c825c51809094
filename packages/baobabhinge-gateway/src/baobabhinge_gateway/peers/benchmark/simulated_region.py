"""Heartbeats of one large region on a manual clock, without sockets."""

import time
from collections.abc import Iterable, Sequence
from datetime import timedelta
from random import Random

from baobabhinge_coordination.clock import ManualClock
from baobabhinge_coordination.membership import (
    Member,
    MembershipProtocol,
    MembershipTiming,
    MembershipView,
    Prober,
    choose_local_interval,
)
from baobabhinge_gateway.fleet.polling import choose_interval
from baobabhinge_gateway.peers.benchmark.fleet import BenchmarkGateway
from baobabhinge_gateway.peers.benchmark.simulated_network import (
    SimulatedNetwork,
)
from baobabhinge_gateway.peers.heartbeat_parts import HeartbeatParts

TIMING = MembershipTiming()
STEP = timedelta(seconds=1)


class SimulatedRegion:
    """Gateways of one region; gateways of other regions only answer.

    Parameters
    ----------
    gateways : sequence of BenchmarkGateway
        Gateways of the region.
    clock : ManualClock
        Clock that the gateways share.
    random : Random
        Random choices of the gateways.

    Attributes
    ----------
    gateways : sequence of BenchmarkGateway
        Gateways of the region.
    network : SimulatedNetwork
        Delivers and counts the exchanges.
    """

    __slots__ = ('_clock', '_probers', '_random', 'gateways', 'network')

    def __init__(
        self,
        gateways: Sequence[BenchmarkGateway],
        clock: ManualClock,
        random: Random,
    ) -> None:
        """Connect the gateways; no other region is known."""
        self.gateways = gateways
        self.network = SimulatedNetwork()
        self._clock = clock
        self._random = random
        self._probers = [self._build_prober(one) for one in gateways]

    def fill_member_tables(self, remote: Iterable[Sequence[Member]]) -> None:
        """Record all members, local and ``remote``, at every gateway."""
        local = [one.node.members.own for one in self.gateways]
        known = [local, *remote]
        for gateway in self.gateways:
            _put_members(gateway.node.members, known)
        for members in known[1:]:
            view = MembershipView(members[0], self._clock)
            _put_members(view, known)
            self.network.add_all(
                [one.name for one in members],
                self._build_protocol(view, HeartbeatParts('')),
            )

    async def run(self, rounds: int) -> None:
        """Simulate ``rounds`` seconds of heartbeats of every gateway."""
        for _ in range(rounds):
            started = time.process_time()
            await self._run_round()
            self.network.cost.processor += time.process_time() - started
            self._clock.advance(STEP)

    async def _run_round(self) -> None:
        for gateway, prober in self._probers:
            if gateway.fleet.identity.name not in self.network.down:
                await self._run_gateway(gateway, prober)

    async def _run_gateway(
        self, gateway: BenchmarkGateway, prober: Prober
    ) -> None:
        count = len(self.gateways)
        if self._random.random() < STEP / choose_interval(count):
            gateway.simulate_poll(self._random)
        if self._random.random() < STEP / choose_local_interval(TIMING, count):
            await prober.probe_local_region()
        if self._random.random() < STEP / TIMING.remote_interval:
            await prober.probe_remote_region()

    def _build_prober(
        self,
        gateway: BenchmarkGateway,
    ) -> tuple[BenchmarkGateway, Prober]:
        protocol = self._build_protocol(
            gateway.node.members,
            gateway.node.parts,
        )
        self.network.add(gateway.fleet.identity.name, protocol)
        prober = Prober(
            protocol,
            self.network,
            self._clock,
            self._random,
            TIMING,
        )
        return gateway, prober

    def _build_protocol(
        self,
        view: MembershipView,
        parts: HeartbeatParts,
    ) -> MembershipProtocol:
        return MembershipProtocol(
            view,
            parts,
            self._clock,
            self._random,
            TIMING,
        )


def _put_members(
    view: MembershipView,
    regions: Iterable[Sequence[Member]],
) -> None:
    for members in regions:
        for member in members:
            view.table.put(member)
