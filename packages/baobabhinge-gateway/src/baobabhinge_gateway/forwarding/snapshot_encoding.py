"""Encoding of the state that another gateway lacks."""

from datetime import timedelta

import msgspec

from baobabhinge_gateway.forwarding.deployment_state import DeploymentState
from baobabhinge_gateway.forwarding.key_revisions import list_changes
from baobabhinge_gateway.forwarding.snapshot import (
    ServerChanges,
    Snapshot,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.snapshot_query import SnapshotQuery
from baobabhinge_gateway.forwarding.state_updater import StateUpdater

MILLISECOND = timedelta(milliseconds=1)
EVERYTHING = SnapshotQuery(StoreRevisions())


def encode_snapshot(
    updater: StateUpdater,
    state: DeploymentState,
    query: SnapshotQuery = EVERYTHING,
) -> bytes:
    """Return the encoded state that a gateway lacks.

    Parameters
    ----------
    updater : StateUpdater
        Holds the revisions that were applied.
    state : DeploymentState
        State to encode.
    query : SnapshotQuery, optional
        What the requesting gateway has.
    """
    snapshot = Snapshot(updater.revisions, complete_to=_list_certain(updater))
    if updater.revisions.operators > query.since.operators:
        if state.configuration.version > query.version:
            snapshot.revision = state.configuration.revision
        snapshot.evacuated = tuple(sorted(state.configuration.evacuated))
    if updater.revisions.servers > query.since.servers:
        lapsing = state.catalogue.removals.list_left()
        snapshot.lapsing_ms = {
            name: left // MILLISECOND for name, left in lapsing.items()
        }
        snapshot.changes = _list_changes(updater, state, query.changes_from)
        if snapshot.changes is None:
            snapshot.servers = tuple(
                server
                for server in state.catalogue.list_all()
                if server.name not in lapsing
            )
    return msgspec.msgpack.encode(snapshot)


def _list_changes(
    updater: StateUpdater, state: DeploymentState, since: int
) -> ServerChanges | None:
    """Return all changes after a revision, ``None`` if some may be unknown."""
    changes = list_changes(updater.servers.revisions, since)
    if changes is None:
        return None
    servers = tuple(
        server
        for server in state.catalogue.list_all()
        if server.name in changes.written
    )
    revisions = tuple(changes.written[server.name] for server in servers)
    return ServerChanges(since, servers, revisions, changes.removed)


def _list_certain(updater: StateUpdater) -> StoreRevisions:
    operators = updater.evacuations.revisions.progress
    servers = updater.servers.revisions.progress
    return StoreRevisions(
        0 if operators.is_uncertain else operators.complete_to,
        0 if servers.is_uncertain else servers.complete_to,
    )
