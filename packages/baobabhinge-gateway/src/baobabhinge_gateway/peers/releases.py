"""Learning newer configurations from other gateways."""

import asyncio
from datetime import timedelta

import aiohttp
import msgspec
import structlog
from mode import Service

from baobabhinge_coordination.generations import Release
from baobabhinge_coordination.membership import Contact, Member
from baobabhinge_gateway.configuration import ActiveConfiguration
from baobabhinge_gateway.peers.node import PeerNode
from baobabhinge_gateway.peers.routes import RELEASE_PATH

FETCH_TIMEOUT = timedelta(seconds=5)

log = structlog.get_logger(__name__)


class ReleasePart:
    """Tell the generation in force, and note who has a newer one.

    Parameters
    ----------
    active : ActiveConfiguration
        Configuration in force.

    Attributes
    ----------
    newer : asyncio.Event
        Set while a peer is known to have a newer generation.
    holder : Contact, optional
        The peer that has it.
    """

    name = 'generation'
    stays_home = False

    __slots__ = ('_active', 'holder', 'newer')

    def __init__(self, active: ActiveConfiguration) -> None:
        """Know no newer generation."""
        self._active = active
        self.holder: Contact | None = None
        self.newer = asyncio.Event()

    def compose(self) -> bytes:
        """Return the newest generation seen."""
        return msgspec.json.encode(self._active.release.generation)

    def absorb(self, sender: Member, body: bytes) -> None:
        """Note a peer whose generation is newer."""
        told = msgspec.json.decode(body, type=int)
        if told > self._active.release.generation:
            self.holder = sender.contact
            self.newer.set()


class ReleaseFetcher(Service):
    """Fetch newer releases from peers and tell the others at once.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns and closes.
    active : ActiveConfiguration
        Where newer releases go.
    node : PeerNode
        Parts that speak to the others.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        active: ActiveConfiguration,
        node: PeerNode,
    ) -> None:
        """Fetch nothing yet."""
        super().__init__()
        self._http = http
        self._active = active
        self._node = node
        self._part = ReleasePart(active)
        node.parts.add(self._part)

    @Service.task
    async def _fetch_newer(self) -> None:
        while not self.should_stop:
            await self.wait(self._part.newer)
            self._part.newer.clear()
            await self._fetch_from(self._part.holder)

    async def _fetch_from(self, holder: Contact | None) -> None:
        address = holder and self._node.addresses.find(holder)
        if address is None:
            return
        try:
            release = await self._fetch(f'http://{address}{RELEASE_PATH}')
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as bad:
            log.info('release-unread', reason=type(bad).__name__)
            return
        if self._active.adopt(release):
            log.info(
                'configuration-adopted-from-peer',
                generation=release.generation,
            )
            self._node.parts.urgent.set()

    async def _fetch(self, url: str) -> Release:
        limit = aiohttp.ClientTimeout(total=FETCH_TIMEOUT.total_seconds())
        async with self._http.get(
            url,
            timeout=limit,
            raise_for_status=True,
        ) as answer:
            return msgspec.json.decode(await answer.read(), type=Release)
