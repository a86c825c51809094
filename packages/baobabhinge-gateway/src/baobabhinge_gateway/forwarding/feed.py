"""What the platform or another gateway tells, taken into the knowledge."""

import asyncio
from collections.abc import Iterable

import msgspec
import structlog

from baobabhinge_gateway.deployment import BackendServer, Revision
from baobabhinge_gateway.deployment.servers import list_missing
from baobabhinge_gateway.forwarding.knowledge import Knowledge
from baobabhinge_gateway.forwarding.snapshot import Marks, Snapshot

log = structlog.get_logger(__name__)


class KnowledgeFeed:
    """Take configurations, evacuations and backend servers.

    Parameters
    ----------
    knowledge : Knowledge
        What is kept up to date.

    Attributes
    ----------
    hears_store : bool
        Whether the store answers this gateway; whoever asks it notes that.
    is_behind : asyncio.Event
        Set when another gateway has seen more of the store.
    marks : Marks
        How much was seen; what is older changes nothing.
    """

    __slots__ = ('_known', 'hears_store', 'is_behind', 'marks')

    def __init__(self, knowledge: Knowledge) -> None:
        """Have taken nothing."""
        self._known = knowledge
        self.hears_store = True
        self.is_behind = asyncio.Event()
        self.marks = Marks()

    def evacuate(self, domains: frozenset[str], mark: int) -> None:
        """Send nothing to these failure domains; take others back.

        The servers of a failure domain that is taken back may have become
        cold, so each must pass a health check first; those of other regions
        are checked by the gateways there.

        Parameters
        ----------
        domains : frozenset of str
            All failure domains that are to get nothing.
        mark : int
            Change of the store that says so.
        """
        if mark < self.marks.operators:
            return
        self.marks = Marks(mark, self.marks.servers)
        released = self._known.holder.evacuated - domains
        self._known.holder.evacuate(domains)
        for server in self._known.catalogue.list_all():
            is_released = server.failure_domain in released
            if is_released and self._known.is_reached(server):
                self._known.trust.suspect(server.name, 'evacuation ended')

    def adopt(self, revision: Revision) -> None:
        """Put a configuration in force unless it is older."""
        self._known.holder.adopt(revision)

    def list_servers(self, servers: Iterable[BackendServer], mark: int) -> None:
        """Take the whole list of backend servers as of a change."""
        if mark < self.marks.servers:
            return
        self.marks = Marks(self.marks.operators, mark)
        listed = list(servers)
        known = self._known.catalogue.list_all()
        for name in list_missing(known, listed):
            self._known.catalogue.remove(name)
        for server in listed:
            self.put_server(server, mark)

    def put_server(self, server: BackendServer, mark: int) -> None:
        """Take one new or changed backend server."""
        if mark < self.marks.servers:
            return
        self.marks = Marks(self.marks.operators, mark)
        if self._known.catalogue.put(server):
            self._known.warmup.record_cold(server.name, server.cold_for)

    def remove_server(self, name: str, mark: int) -> None:
        """Take the end of a backend server's entry."""
        if mark < self.marks.servers:
            return
        self.marks = Marks(self.marks.operators, mark)
        self._known.catalogue.remove(name)

    def note_store_failure(self) -> None:
        """Note that the store fails, so that entries may lapse by mistake."""
        self.hears_store = False
        self._known.catalogue.note_unsteady()


def take_snapshot(
    feed: KnowledgeFeed,
    knowledge: Knowledge,
    since: Marks,
) -> bytes:
    """Return what is newer than ``since``, to be handed to another gateway."""
    snapshot = Snapshot(feed.marks)
    if feed.marks.operators > since.operators:
        snapshot.revision = knowledge.holder.revision
        snapshot.evacuated = tuple(sorted(knowledge.holder.evacuated))
    if feed.marks.servers > since.servers:
        snapshot.servers = tuple(knowledge.catalogue.list_all())
    return msgspec.msgpack.encode(snapshot)


def apply_snapshot(feed: KnowledgeFeed, encoded: bytes) -> None:
    """Take the parts of a snapshot that are newer than what is known."""
    try:
        snapshot = msgspec.msgpack.decode(encoded, type=Snapshot)
    except msgspec.MsgspecError as bad:
        log.error('knowledge-unreadable', reason=str(bad))
        return
    before = feed.marks
    if snapshot.marks.operators > before.operators:
        if snapshot.revision is not None:
            feed.adopt(snapshot.revision)
        feed.evacuate(frozenset(snapshot.evacuated), snapshot.marks.operators)
    if snapshot.marks.servers > before.servers:
        feed.list_servers(snapshot.servers, snapshot.marks.servers)
    log.info(
        'knowledge-taken',
        operators=feed.marks.operators,
        servers=feed.marks.servers,
        operators_before=before.operators,
        servers_before=before.servers,
    )
