"""Heartbeats at regular intervals."""

import asyncio
from datetime import timedelta
from random import Random

from mode import Service

from baobabhinge_coordination.membership import (
    choose_local_interval,
    list_peers,
)
from baobabhinge_gateway.peers.node import TIMING, PeerNode
from baobabhinge_gateway.supervision import supervised_task

INITIAL_PROBES = 3
MIN_JITTER_FACTOR = 0.9
MAX_JITTER_FACTOR = 1.1


class PeriodicHeartbeatService(Service):
    """Send a heartbeat to one gateway in each interval.

    The local region and the remote regions have intervals of their own.

    Parameters
    ----------
    node : PeerNode
        Sends heartbeats and knows the other gateways.
    random : Random
        Jitter of the intervals.
    """

    def __init__(self, node: PeerNode, random: Random) -> None:
        """Store the collaborators; nothing is sent before the start."""
        super().__init__()
        self._node = node
        self._random = random

    async def on_start(self) -> None:
        """Probe some gateways of the local region before this one serves."""
        contacts = self._node.addresses.list_contacts()
        local_region = self._node.members.own.region
        local = [
            contact for contact in contacts if contact.region == local_region
        ]
        await asyncio.gather(
            *[
                self._node.prober.probe_undiscovered(local)
                for _ in range(INITIAL_PROBES)
            ],
        )

    @supervised_task
    async def _probe_local_region(self) -> None:
        while not self.should_stop:
            peers = len(list_peers(self._node.members))
            interval = choose_local_interval(TIMING, peers)
            await self._sleep_with_jitter(interval)
            await self._node.prober.probe_local_region()

    @supervised_task
    async def _probe_remote_regions(self) -> None:
        while not self.should_stop:
            await self._sleep_with_jitter(TIMING.remote_interval)
            await self._probe_remote_once()

    async def _sleep_with_jitter(self, interval: timedelta) -> None:
        jitter = self._random.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        await self.sleep(interval * jitter)

    async def _probe_remote_once(self) -> None:
        contacts = self._node.addresses.list_contacts()
        await self._node.prober.probe_undiscovered(contacts)
        await self._node.prober.probe_remote_region()
