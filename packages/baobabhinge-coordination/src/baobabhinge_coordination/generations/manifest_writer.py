"""Writer of the texts, audit record and manifest of a publication."""

from collections.abc import Sequence
from contextlib import suppress

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.generations.attempts import PublishAttempt
from baobabhinge_coordination.generations.audit import (
    AuditRecord,
    build_record_key,
    compare_manifests,
)
from baobabhinge_coordination.generations.manifest import (
    BODY_PREFIX,
    MANIFEST_KEY,
)
from baobabhinge_coordination.generations.release_reader import FileBody
from baobabhinge_coordination.generations.sweeper import UnusedKeySweeper
from baobabhinge_coordination.store import (
    KeyValueStore,
    StoreAnswerLostError,
    StoredValue,
    StoreError,
)


class ManifestWriter:
    """Write texts and audit record, swap the manifest, delete unused keys.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    clock : Clock
        Clock of the audit records.
    """

    __slots__ = ('_clock', '_store', '_sweeper', '_unused_keys')

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        """Store the collaborators; no call is made."""
        self._store = store
        self._clock = clock
        self._sweeper = UnusedKeySweeper(store)
        self._unused_keys: Sequence[StoredValue] = ()

    async def prepare(self, attempt: PublishAttempt) -> None:
        """Write what the planned manifest refers to, and list unused keys."""
        for change in attempt.request.changes:
            if change.text is not None:
                body = FileBody(change.text, attempt.writer)
                await self._write(f'{BODY_PREFIX}{change.after}', body)
        record = self._build_record(attempt)
        key = build_record_key(record.to_generation, record.publish_id)
        await self._write(key, record)
        self._unused_keys = await self._sweeper.list_unused(attempt.planned)

    async def swap(self, attempt: PublishAttempt) -> bool:
        """Replace the manifest if its revision is still that of ``attempt``."""
        encoded = msgspec.json.encode(attempt.planned)
        return await self._store.swap(MANIFEST_KEY, encoded, attempt.revision)

    async def delete_unused(self) -> None:
        """Delete keys that were unused before the swap, ignoring failures.

        Keys that are left are found again by a later publication.
        """
        with suppress(StoreError):
            await self._sweeper.delete_unchanged(self._unused_keys)

    def _build_record(self, attempt: PublishAttempt) -> AuditRecord:
        return AuditRecord(
            attempt.request.publish_id,
            attempt.request.author,
            self._clock.read_instant(),
            attempt.manifest.generation,
            attempt.planned.generation,
            compare_manifests(attempt.manifest, attempt.planned),
            attempt.number,
        )

    async def _write(self, key: str, body: msgspec.Struct) -> None:
        """Write ``body``, and retry once if an answer is lost."""
        encoded = msgspec.json.encode(body)
        with suppress(StoreAnswerLostError):
            await self._swap_until_written(key, encoded)
            return
        await self._swap_until_written(key, encoded)

    async def _swap_until_written(self, key: str, encoded: bytes) -> None:
        written = False
        while not written:
            stored = await self._store.read(key)
            written = await self._store.swap(key, encoded, stored.revision)
