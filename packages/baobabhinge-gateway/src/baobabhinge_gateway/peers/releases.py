"""Fetching newer configurations from other gateways."""

import asyncio

import msgspec
import structlog
from mode import Service

from baobabhinge_coordination.generations import (
    DeltaMismatchError,
    Release,
    apply_delta,
)
from baobabhinge_coordination.membership import (
    Contact,
    Member,
    MemberUnreachableError,
)
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.peers.client import PeerClient
from baobabhinge_gateway.peers.heartbeat_parts import HeartbeatParts
from baobabhinge_gateway.supervision import supervised_task

log = structlog.get_logger(__name__)


class ReleasePart:
    """Heartbeat part that finds a peer with a newer generation.

    Parameters
    ----------
    active : ActiveConfiguration
        Configuration in force.

    Attributes
    ----------
    newer_seen : asyncio.Event
        Set when a peer has reported a newer generation.
    newer_peer : Contact, optional
        The peer that reported it last.
    """

    name = 'generation'
    is_region_local = False

    __slots__ = ('_active', 'newer_peer', 'newer_seen')

    def __init__(self, active: ActiveConfiguration) -> None:
        """Start without a newer generation."""
        self._active = active
        self.newer_peer: Contact | None = None
        self.newer_seen = asyncio.Event()

    def compose(self) -> bytes:
        """Return the generation of the release in force as JSON."""
        return msgspec.json.encode(self._active.release.generation)

    def apply(self, sender: Member, body: bytes) -> None:
        """Record a peer whose generation is newer."""
        received = msgspec.json.decode(body, type=int)
        if received > self._active.release.generation:
            self.newer_peer = sender.contact
            self.newer_seen.set()


class ReleaseFetcher(Service):
    """Fetch newer releases from peers and report them at once.

    Parameters
    ----------
    client : PeerClient
        Fetches the releases.
    active : ActiveConfiguration
        Configuration in force; newer releases are applied to it.
    parts : HeartbeatParts
        Heartbeat parts; one with the generation is added.
    """

    def __init__(
        self,
        client: PeerClient,
        active: ActiveConfiguration,
        parts: HeartbeatParts,
    ) -> None:
        """Add the heartbeat part; nothing is fetched before the start."""
        super().__init__()
        self._client = client
        self._active = active
        self._parts = parts
        self._release_part = ReleasePart(active)
        parts.add(self._release_part)

    @supervised_task
    async def _fetch_newer(self) -> None:
        while not self.should_stop:
            await self.wait(self._release_part.newer_seen)
            self._release_part.newer_seen.clear()
            if self._release_part.newer_peer is not None:
                await self._fetch_from(self._release_part.newer_peer)

    async def _fetch_from(self, newer_peer: Contact) -> None:
        try:
            release = await self._fetch_release(newer_peer)
        except (MemberUnreachableError, DeltaMismatchError) as error:
            log.info(
                'release-unread',
                peer=newer_peer.name,
                reason=type(error).__name__,
            )
            return
        if self._active.adopt(release):
            log.info(
                'configuration-adopted-from-peer',
                generation=release.generation,
            )
            self._parts.urgent.set()

    async def _fetch_release(self, newer_peer: Contact) -> Release:
        held = self._active.release
        delta = await self._client.fetch_release_delta(
            newer_peer, held.publication
        )
        return apply_delta(held, delta)
