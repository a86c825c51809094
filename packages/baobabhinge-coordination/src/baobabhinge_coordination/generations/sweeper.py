"""Deletion of keys that no manifest refers to any more.

A publisher writes all its keys again in each attempt, after it has read the
manifest. A sweep reads the revisions of unused keys, then the publication that
it belongs to swaps the manifest, and only then it deletes the keys that still
have these revisions. A publisher that read the older manifest fails its swap
and writes again; one that read the newer manifest has changed the revision by
writing. So no key that a manifest refers to is ever deleted.
"""

from collections.abc import Iterable, Sequence

from baobabhinge_coordination.generations.audit import (
    AUDIT_PREFIX,
    AUDIT_RETENTION_GENERATIONS,
    build_record_key,
    parse_record_generation,
)
from baobabhinge_coordination.generations.manifest import (
    BODY_PREFIX,
    Manifest,
)
from baobabhinge_coordination.store import KeyValueStore, StoredValue

MAX_SWEPT_KEYS = 8


class UnusedKeySweeper:
    """List unused keys before a swap, delete them after it.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    """

    __slots__ = ('_store',)

    def __init__(self, store: KeyValueStore) -> None:
        """Store the collaborator; no call is made."""
        self._store = store

    async def list_unused(self, planned: Manifest) -> Sequence[StoredValue]:
        """Return up to ``MAX_SWEPT_KEYS`` keys unused by ``planned``."""
        bodies = await self._store.list_keys(BODY_PREFIX)
        records = await self._store.list_keys(AUDIT_PREFIX)
        unused = [
            *_list_unused_bodies(planned, bodies),
            *_list_unused_records(planned, records),
        ]
        return [await self._store.read(key) for key in unused[:MAX_SWEPT_KEYS]]

    async def delete_unchanged(self, unused: Iterable[StoredValue]) -> None:
        """Delete the keys that were not written since they were listed."""
        for stored in unused:
            if stored.revision:
                await self._store.delete(stored.key, stored.revision)


def _list_unused_bodies(
    planned: Manifest,
    keys: Iterable[str],
) -> Iterable[str]:
    used = {f'{BODY_PREFIX}{listed.digest}' for listed in planned.files}
    return [key for key in keys if key not in used]


def _list_unused_records(
    planned: Manifest,
    keys: Iterable[str],
) -> Iterable[str]:
    used = {
        build_record_key(publication.generation, publication.publish_id)
        for publication in planned.history
    }
    oldest = planned.history[0].generation
    too_old = planned.generation - AUDIT_RETENTION_GENERATIONS
    return [
        key
        for key in keys
        if key not in used
        and not too_old <= parse_record_generation(key) < oldest
    ]
