"""What the platform or another gateway tells, taken into the knowledge."""

import asyncio
from collections.abc import Iterable

import msgspec
import structlog

from baobabhinge_gateway.deployment import BackendServer, Revision
from baobabhinge_gateway.deployment.servers import list_missing
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.snapshot import Snapshot, StoreRevisions

log = structlog.get_logger(__name__)


class StateUpdater:
    """Take configurations, evacuations and backend servers.

    Parameters
    ----------
    state : DeploymentState
        What is kept up to date.

    Attributes
    ----------
    is_store_reachable : bool
        Whether the store answers this gateway; whoever asks it notes that.
    is_behind : asyncio.Event
        Set when another gateway has seen more of the store.
    revisions : StoreRevisions
        How much was seen; what is older changes nothing.
    """

    __slots__ = ('_state', 'is_behind', 'is_store_reachable', 'revisions')

    def __init__(self, state: DeploymentState) -> None:
        """Have taken nothing."""
        self._state = state
        self.is_store_reachable = True
        self.is_behind = asyncio.Event()
        self.revisions = StoreRevisions()

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
        if mark < self.revisions.operators:
            return
        self.revisions = StoreRevisions(mark, self.revisions.servers)
        released = self._state.configuration.evacuated - domains
        self._state.configuration.evacuate(domains)
        for server in self._state.catalogue.list_all():
            is_released = server.failure_domain in released
            if is_released and self._state.is_local(server):
                self._state.reliability.suspect(server.name, 'evacuation ended')

    def adopt(self, revision: Revision) -> None:
        """Put a configuration in force unless it is older."""
        self._state.configuration.adopt(revision)

    def replace_servers(
        self, servers: Iterable[BackendServer], mark: int
    ) -> None:
        """Take the whole list of backend servers as of a change."""
        if mark < self.revisions.servers:
            return
        self.revisions = StoreRevisions(self.revisions.operators, mark)
        listed = list(servers)
        known = self._state.catalogue.list_all()
        for name in list_missing(known, listed):
            self._state.catalogue.remove(name)
        for server in listed:
            self.put_server(server, mark)

    def put_server(self, server: BackendServer, mark: int) -> None:
        """Take one new or changed backend server."""
        if mark < self.revisions.servers:
            return
        self.revisions = StoreRevisions(self.revisions.operators, mark)
        if self._state.catalogue.put(server):
            self._state.warmup.record_cold(server.name, server.cold_for)

    def remove_server(self, name: str, mark: int) -> None:
        """Take the end of a backend server's entry."""
        if mark < self.revisions.servers:
            return
        self.revisions = StoreRevisions(self.revisions.operators, mark)
        self._state.catalogue.remove(name)

    def record_store_failure(self) -> None:
        """Note that the store fails, so that entries may lapse by mistake."""
        self.is_store_reachable = False
        self._state.catalogue.record_store_failure()


def encode_snapshot(
    feed: StateUpdater,
    state: DeploymentState,
    since: StoreRevisions,
) -> bytes:
    """Return what is newer than ``since``, to be handed to another gateway."""
    snapshot = Snapshot(feed.revisions)
    if feed.revisions.operators > since.operators:
        snapshot.revision = state.configuration.revision
        snapshot.evacuated = tuple(sorted(state.configuration.evacuated))
    if feed.revisions.servers > since.servers:
        snapshot.servers = tuple(state.catalogue.list_all())
    return msgspec.msgpack.encode(snapshot)


def apply_snapshot(feed: StateUpdater, encoded: bytes) -> None:
    """Take the parts of a snapshot that are newer than what is known."""
    try:
        snapshot = msgspec.msgpack.decode(encoded, type=Snapshot)
    except msgspec.MsgspecError as bad:
        log.error('knowledge-unreadable', reason=str(bad))
        return
    before = feed.revisions
    if snapshot.marks.operators > before.operators:
        if snapshot.revision is not None:
            feed.adopt(snapshot.revision)
        feed.evacuate(frozenset(snapshot.evacuated), snapshot.marks.operators)
    if snapshot.marks.servers > before.servers:
        feed.replace_servers(snapshot.servers, snapshot.marks.servers)
    log.info(
        'knowledge-taken',
        operators=feed.revisions.operators,
        servers=feed.revisions.servers,
        operators_before=before.operators,
        servers_before=before.servers,
    )
