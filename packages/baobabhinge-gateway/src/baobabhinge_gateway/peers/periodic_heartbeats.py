"""Heartbeats in their periods."""

import asyncio
from datetime import timedelta
from random import Random

from mode import Service

from baobabhinge_coordination.membership import (
    choose_local_interval,
    list_peers,
)
from baobabhinge_gateway.peers.node import TIMING, PeerNode

INITIAL_PROBES = 3
MIN_JITTER_FACTOR = 0.9
MAX_JITTER_FACTOR = 1.1


class PeriodicHeartbeatService(Service):
    """Send a heartbeat to one gateway in each period.

    Parameters
    ----------
    node : PeerNode
        Parts that speak to the others.
    random : Random
        Jitter of the periods.
    """

    def __init__(self, node: PeerNode, random: Random) -> None:
        """Send nothing yet."""
        super().__init__()
        self._node = node
        self._random = random

    async def on_start(self) -> None:
        """Meet some gateways of the region before this one serves."""
        contacts = self._node.addresses.list_contacts()
        home = self._node.members.own.region
        near = [contact for contact in contacts if contact.region == home]
        await asyncio.gather(
            *[
                self._node.prober.probe_undiscovered(near)
                for _ in range(INITIAL_PROBES)
            ],
        )

    @Service.task
    async def _probe_home(self) -> None:
        while not self.should_stop:
            peers = len(list_peers(self._node.members))
            period = choose_local_interval(TIMING, peers)
            await self._pause(period)
            await self._node.prober.probe_local_region()

    @Service.task
    async def _probe_others(self) -> None:
        while not self.should_stop:
            await self._pause(TIMING.remote_interval)
            await self._probe_away()

    async def _pause(self, period: timedelta) -> None:
        jitter = self._random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        await self.sleep(period * jitter)

    async def _probe_away(self) -> None:
        contacts = self._node.addresses.list_contacts()
        await self._node.prober.probe_undiscovered(contacts)
        await self._node.prober.probe_remote_region()
