"""Heartbeats that are sent without waiting for the next interval."""

import asyncio
from datetime import timedelta
from random import Random

from mode import Service

from baobabhinge_coordination.membership import MemberState, list_peers
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.peers.node import PeerNode
from baobabhinge_gateway.supervision import supervised_task

MAX_URGENT_TARGETS = 3
LIFECYCLE_POLL_INTERVAL = timedelta(milliseconds=200)


class UrgentHeartbeatService(Service):
    """Send heartbeats at once after urgent changes and when shutting down.

    Up to `MAX_URGENT_TARGETS` gateways get one; they spread the change.

    Parameters
    ----------
    node : PeerNode
        Sends heartbeats and holds their parts.
    lifecycle : Lifecycle
        Tells whether this gateway is draining.
    random : Random
        Chooses the gateways that get a heartbeat.
    """

    def __init__(
        self,
        node: PeerNode,
        lifecycle: Lifecycle,
        random: Random,
    ) -> None:
        """Store the collaborators; nothing is sent before the start."""
        super().__init__()
        self._node = node
        self._lifecycle = lifecycle
        self._random = random

    async def on_stop(self) -> None:
        """Announce this gateway as dead to some others."""
        self._node.members.announce(MemberState.dead)
        await self._send_to_random_peers()

    @supervised_task
    async def _send_urgent(self) -> None:
        while not self.should_stop:
            await self.wait(self._node.parts.urgent)
            self._node.parts.urgent.clear()
            await self._send_to_random_peers()

    @supervised_task
    async def _poll_lifecycle(self) -> None:
        while not self.should_stop:
            await self.sleep(LIFECYCLE_POLL_INTERVAL)
            own = self._node.members.own
            if self._lifecycle.is_draining and own.state is MemberState.alive:
                self._node.members.announce(MemberState.draining)
                self._node.parts.urgent.set()

    async def _send_to_random_peers(self) -> None:
        peers = list_peers(self._node.members)
        chosen = self._random.sample(peers, min(MAX_URGENT_TARGETS, len(peers)))
        await asyncio.gather(
            *[self._node.prober.exchange_with(peer.contact) for peer in chosen],
        )
