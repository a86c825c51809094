"""Changes from the store or from another gateway, applied to the state."""

import asyncio
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec
import structlog

from baobabhinge_gateway.deployment import BackendServer, Revision
from baobabhinge_gateway.deployment.servers import list_missing
from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.snapshot import Snapshot, StoreRevisions
from baobabhinge_gateway.forwarding.state_lag import StateLag

MILLISECOND = timedelta(milliseconds=1)
STORE = 'store'
NO_RETENTION: Mapping[str, timedelta] = {}

log = structlog.get_logger(__name__)


class StateUpdater:
    """Apply configurations, evacuations and lists of backend servers.

    A change that is older than the newest one applied is ignored.

    Parameters
    ----------
    state : DeploymentState
        State to keep up to date.

    Attributes
    ----------
    is_store_reachable : bool
        Whether the latest request to the store was answered; set by its client.
    is_behind : asyncio.Event
        Set when another gateway reports a newer revision of the store.
    lag : StateLag
        Time since another gateway reported a newer configuration or evacuation.
    revisions : StoreRevisions
        Newest revisions of the store that were applied.
    """

    __slots__ = (
        '_state',
        'is_behind',
        'is_store_reachable',
        'lag',
        'revisions',
    )

    def __init__(self, state: DeploymentState) -> None:
        """Start at revision 0, with the store assumed to be reachable."""
        self._state = state
        self.is_store_reachable = True
        self.is_behind = asyncio.Event()
        self.revisions = StoreRevisions()
        self.lag = StateLag(state.clock)

    def evacuate(self, domains: frozenset[str], store_revision: int) -> None:
        """Evacuate these failure domains, and no others.

        The servers of a domain whose evacuation ends may have become cold, so
        each has to pass a health check before it gets calls. Servers of other
        regions are checked by the gateways of those regions.

        Parameters
        ----------
        domains : frozenset of str
            All failure domains that are to get no calls.
        store_revision : int
            Store revision to which this set of domains belongs.
        """
        if store_revision < self.revisions.operators:
            return
        if store_revision > self.revisions.operators:
            self.lag.end()
        self.revisions = StoreRevisions(store_revision, self.revisions.servers)
        restored = self._state.configuration.evacuated - domains
        self._state.configuration.evacuate(domains)
        for server in self._state.catalogue.list_all():
            is_restored = server.failure_domain in restored
            if is_restored and self._state.is_local(server):
                self._state.reliability.suspect(server.name, 'evacuation ended')

    def adopt(self, revision: Revision, source: str = STORE) -> None:
        """Put a configuration in force unless a newer one is.

        Parameters
        ----------
        revision : Revision
            The configuration.
        source : str, optional
            Where it was read, for the log.
        """
        if self._state.configuration.adopt(revision):
            log.info(
                'configuration-applied',
                version=revision.version,
                source=source,
                behind_ms=self.lag.compute() // MILLISECOND,
            )

    def replace_servers(
        self,
        servers: Iterable[BackendServer],
        store_revision: int,
        lapsing: Mapping[str, timedelta] = NO_RETENTION,
    ) -> None:
        """Apply the complete list of backend servers at a store revision.

        Parameters
        ----------
        servers : iterable of BackendServer
            The listed servers.
        store_revision : int
            Store revision of the list.
        lapsing : mapping of str to timedelta, optional
            For how much longer another gateway keeps servers that are listed
            no longer.
        """
        if store_revision < self.revisions.servers:
            return
        self.revisions = StoreRevisions(
            self.revisions.operators, store_revision
        )
        listed = list(servers)
        self._state.catalogue.history.record_list()
        known = self._state.catalogue.list_all()
        for name in list_missing(known, listed):
            _remove_server(self._state, name)
        for name, left in lapsing.items():
            self._state.catalogue.removals.limit(name, left)
        for server in listed:
            self.put_server(server, store_revision)

    def put_server(self, server: BackendServer, store_revision: int) -> None:
        """Add or update one backend server."""
        if store_revision < self.revisions.servers:
            return
        self.revisions = StoreRevisions(
            self.revisions.operators, store_revision
        )
        if self._state.catalogue.put(server):
            self._state.warmup.record_cold(server.name, server.cold_for)

    def remove_server(self, name: str, store_revision: int) -> None:
        """Remove a backend server whose entry is gone or malformed."""
        if store_revision < self.revisions.servers:
            return
        self.revisions = StoreRevisions(
            self.revisions.operators, store_revision
        )
        _remove_server(self._state, name)

    def record_store_failure(self) -> None:
        """Record a store failure, after which entries may expire wrongly."""
        self.is_store_reachable = False
        self._state.catalogue.record_store_failure()


def _remove_server(state: DeploymentState, name: str) -> None:
    state.catalogue.remove(name)
    state.crashes.lost_runs.record_removal(name)


def encode_snapshot(
    updater: StateUpdater,
    state: DeploymentState,
    since: StoreRevisions,
) -> bytes:
    """Return the encoded state that is newer than ``since``.

    Parameters
    ----------
    updater : StateUpdater
        Holds the revisions that were applied.
    state : DeploymentState
        State to encode.
    since : StoreRevisions
        Revisions that the requesting gateway has.
    """
    snapshot = Snapshot(updater.revisions)
    if updater.revisions.operators > since.operators:
        snapshot.revision = state.configuration.revision
        snapshot.evacuated = tuple(sorted(state.configuration.evacuated))
    if updater.revisions.servers > since.servers:
        listed = state.catalogue.list_all()
        lapsing = state.catalogue.removals.list_left()
        snapshot.servers = tuple(
            server for server in listed if server.name not in lapsing
        )
        snapshot.lapsing_ms = {
            name: left // MILLISECOND for name, left in lapsing.items()
        }
    return msgspec.msgpack.encode(snapshot)


def apply_snapshot(
    updater: StateUpdater, encoded: bytes, since: StoreRevisions
) -> None:
    """Apply the parts of a snapshot that are newer than the local ones.

    A snapshot that can't be decoded is logged and ignored.

    Parameters
    ----------
    updater : StateUpdater
        Applies the parts.
    encoded : bytes
        The snapshot.
    since : StoreRevisions
        Revisions that were asked for; the snapshot leaves out what is older.
    """
    try:
        snapshot = msgspec.msgpack.decode(encoded, type=Snapshot)
    except msgspec.MsgspecError as malformed:
        log.error('snapshot-unreadable', reason=str(malformed))
        return
    before = updater.revisions
    if snapshot.marks.operators > max(before.operators, since.operators):
        if snapshot.revision is not None:
            updater.adopt(snapshot.revision, 'another gateway')
        updater.evacuate(
            frozenset(snapshot.evacuated), snapshot.marks.operators
        )
    if snapshot.marks.servers > max(before.servers, since.servers):
        lapsing = {
            name: left * MILLISECOND
            for name, left in snapshot.lapsing_ms.items()
        }
        updater.replace_servers(
            snapshot.servers, snapshot.marks.servers, lapsing
        )
    log.info(
        'snapshot-applied',
        operators=updater.revisions.operators,
        servers=updater.revisions.servers,
        operators_before=before.operators,
        servers_before=before.servers,
    )
