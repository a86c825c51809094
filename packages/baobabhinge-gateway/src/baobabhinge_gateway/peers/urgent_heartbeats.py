"""Heartbeats that do not wait for the next period."""

import asyncio
from datetime import timedelta
from random import Random

from mode import Service

from baobabhinge_coordination.membership import MemberState, list_peers
from baobabhinge_gateway.lifecycle import Lifecycle
from baobabhinge_gateway.peers.node import PeerNode

MAX_URGENT_TARGETS = 3
LIFECYCLE_POLL_INTERVAL = timedelta(milliseconds=200)


class UrgentHeartbeatService(Service):
    """Tell some gateways at once when a part has news or this one leaves.

    Parameters
    ----------
    node : PeerNode
        Parts that speak to the others.
    lifecycle : Lifecycle
        Whether this gateway is leaving.
    random : Random
        Choice of the gateways.
    """

    def __init__(
        self,
        node: PeerNode,
        lifecycle: Lifecycle,
        random: Random,
    ) -> None:
        """Tell nothing yet."""
        super().__init__()
        self._node = node
        self._lifecycle = lifecycle
        self._random = random

    async def on_stop(self) -> None:
        """Tell some gateways that this one is gone."""
        self._node.members.announce(MemberState.dead)
        await self._contact_some()

    @Service.task
    async def _spread(self) -> None:
        while not self.should_stop:
            await self.wait(self._node.parts.urgent)
            self._node.parts.urgent.clear()
            await self._contact_some()

    @Service.task
    async def _follow_lifecycle(self) -> None:
        while not self.should_stop:
            await self.sleep(LIFECYCLE_POLL_INTERVAL)
            own = self._node.members.own
            if self._lifecycle.is_draining and own.state is MemberState.alive:
                self._node.members.announce(MemberState.draining)
                self._node.parts.urgent.set()

    async def _contact_some(self) -> None:
        peers = list_peers(self._node.members)
        chosen = self._random.sample(peers, min(MAX_URGENT_TARGETS, len(peers)))
        await asyncio.gather(
            *[self._node.prober.exchange_with(peer.contact) for peer in chosen],
        )
