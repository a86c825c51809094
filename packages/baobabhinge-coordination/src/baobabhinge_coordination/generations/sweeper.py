"""Removing keys that nothing refers to any more.

A publisher writes its keys anew in each attempt, after it read the manifest.
A sweep notes the revisions of unused keys, then its own publication swaps the
manifest, and only then it deletes keys that still have the noted revisions.
A publisher that read the older manifest fails its swap and writes again; one
that read the newer manifest changed the revision by writing. So no key that a
manifest refers to is ever deleted.
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
    """Note unused keys before a swap, delete them after it.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    """

    __slots__ = ('_store',)

    def __init__(self, store: KeyValueStore) -> None:
        """Keep the store; no call is made."""
        self._store = store

    async def list_unused(self, planned: Manifest) -> Sequence[StoredValue]:
        """Return some keys that ``planned`` does not use."""
        bodies = await self._store.list_keys(BODY_PREFIX)
        records = await self._store.list_keys(AUDIT_PREFIX)
        unused = [
            *_list_unused_bodies(planned, bodies),
            *_list_unused_records(planned, records),
        ]
        return [await self._store.read(key) for key in unused[:MAX_SWEPT_KEYS]]

    async def delete_unchanged(self, unused: Iterable[StoredValue]) -> None:
        """Delete keys that were not written since they were observed."""
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
        build_record_key(known.generation, known.publish_id)
        for known in planned.history
    }
    oldest = planned.history[0].generation
    too_old = planned.generation - AUDIT_RETENTION_GENERATIONS
    return [
        key
        for key in keys
        if key not in used
        and not too_old <= parse_record_generation(key) < oldest
    ]
