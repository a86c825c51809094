"""Applying of snapshots that other gateways send."""

from datetime import timedelta

import msgspec
import structlog

from baobabhinge_gateway.forwarding.key_revisions import ListRevisions
from baobabhinge_gateway.forwarding.snapshot import (
    ServerChanges,
    Snapshot,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.state_updater import StateUpdater

MILLISECOND = timedelta(milliseconds=1)

log = structlog.get_logger(__name__)


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
    before = updater.known_to
    if snapshot.marks.operators > max(before.operators, since.operators):
        _apply_operators(updater, snapshot)
    if snapshot.marks.servers > max(before.servers, since.servers):
        _apply_servers(updater, snapshot)
    log.info(
        'snapshot-applied',
        operators=updater.revisions.operators,
        servers=updater.revisions.servers,
        operators_before=before.operators,
        servers_before=before.servers,
    )


def _apply_operators(updater: StateUpdater, snapshot: Snapshot) -> None:
    if snapshot.revision is not None:
        updater.adopt(snapshot.revision, 'another gateway')
    told = _describe_list(
        snapshot.marks.operators, snapshot.complete_to.operators
    )
    if told.is_certain or not updater.is_store_reachable:
        evacuated = dict.fromkeys(snapshot.evacuated, told.as_of)
        updater.evacuations.replace(evacuated, told)
        updater.complete(StoreRevisions())
    else:
        updater.evacuations.revisions.progress.claim(told.newest)


def _apply_servers(updater: StateUpdater, snapshot: Snapshot) -> None:
    if snapshot.changes:
        _apply_changes(updater, snapshot, snapshot.changes)
        return
    told = _describe_list(snapshot.marks.servers, snapshot.complete_to.servers)
    if told.is_certain or not updater.is_store_reachable:
        lapsing = {
            name: left * MILLISECOND
            for name, left in snapshot.lapsing_ms.items()
        }
        servers = dict.fromkeys(snapshot.servers, told.as_of)
        updater.servers.replace(servers, told, lapsing)
        updater.complete(StoreRevisions())
    else:
        updater.servers.revisions.progress.claim(told.newest)


def _apply_changes(
    updater: StateUpdater, snapshot: Snapshot, changes: ServerChanges
) -> None:
    """Apply changes, unless some before them are not known."""
    if changes.since > updater.servers.revisions.progress.complete_to:
        log.error('changes-out-of-order', since=changes.since)
        return
    for server, revision in zip(
        changes.written, changes.revisions, strict=False
    ):
        updater.servers.put(server, revision)
    for name, revision in changes.removed.items():
        updater.servers.remove(name, revision)
        left = snapshot.lapsing_ms.get(name, 0)
        updater.servers.limit_removal(name, left * MILLISECOND)
    updater.complete(StoreRevisions(servers=snapshot.complete_to.servers))


def _describe_list(mark: int, complete_to: int) -> ListRevisions:
    """Return the revisions of one part of a snapshot.

    A gateway that does not tell to which revision its list is complete may have
    missed changes up to its mark. The store is read instead, if it is
    reachable.
    """
    is_certain = complete_to >= mark
    return ListRevisions(
        complete_to if is_certain else mark, mark, is_certain=is_certain
    )
