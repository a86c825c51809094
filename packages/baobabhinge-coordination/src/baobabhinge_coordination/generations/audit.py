"""Audit records of accepted publications, in the key-value service."""

from collections.abc import Iterable, Sequence
from datetime import datetime

import msgspec

from baobabhinge_coordination.generations.changes import map_digests
from baobabhinge_coordination.generations.errors import BaseUnknownError
from baobabhinge_coordination.generations.manifest import (
    MANIFEST_KEY,
    Manifest,
)
from baobabhinge_coordination.generations.release_reader import decode_manifest
from baobabhinge_coordination.store import KeyValueStore

AUDIT_PREFIX = 'baobabhinge/audit/'
AUDIT_RETENTION_GENERATIONS = 1000
# Padded with zeros, so that the keys sort in the order of the generations.
GENERATION_DIGITS = 12


class AuditedFile(msgspec.Struct, frozen=True):
    """Digests of one file before and after; empty where it is absent."""

    name: str
    before: str
    after: str


class AuditRecord(msgspec.Struct, frozen=True):
    """Audit record of one publication.

    Parameters
    ----------
    publish_id, author : str
        Identifier of the publication, and who made it.
    instant : datetime
        Time of the attempt, by the clock of the author's machine.
    from_generation, to_generation : int
        Generations before and after.
    files : tuple of AuditedFile
        Changed files, by name.
    attempt : int
        Number of earlier attempts.
    """

    publish_id: str
    author: str
    instant: datetime
    from_generation: int
    to_generation: int
    files: tuple[AuditedFile, ...]
    attempt: int = 0


def build_record_key(generation: int, publish_id: str) -> str:
    """Return the key of the audit record of one publication."""
    number = str(generation).zfill(GENERATION_DIGITS)
    return f'{AUDIT_PREFIX}{number}/{publish_id}'


def parse_record_generation(key: str) -> int:
    """Return the generation in the key of an audit record."""
    return int(key.removeprefix(AUDIT_PREFIX).partition('/')[0])


def compare_manifests(
    before: Manifest,
    after: Manifest,
) -> tuple[AuditedFile, ...]:
    """Return the files that differ between two manifests, by name."""
    old = map_digests(before)
    new = map_digests(after)
    return tuple(
        AuditedFile(name, old.get(name, ''), new.get(name, ''))
        for name in sorted({*old, *new})
        if old.get(name) != new.get(name)
    )


class AuditReader:
    """Read the audit records of accepted publications.

    Records of attempts that were not accepted may be stored too. A record is
    read only if the history of the manifest has its publication, or if it is
    older than that history.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    """

    __slots__ = ('_store',)

    def __init__(self, store: KeyValueStore) -> None:
        """Store the collaborator; no call is made."""
        self._store = store

    async def read_last(self, limit: int) -> Sequence[AuditRecord]:
        """Return at most ``limit`` records, newest first."""
        keys = await self._list_accepted(await self.read_manifest())
        stored_records = [await self._store.read(key) for key in keys[:limit]]
        return [
            msgspec.json.decode(stored.body, type=AuditRecord)
            for stored in stored_records
            if stored.revision
        ]

    async def read_manifest(self) -> Manifest:
        """Return the manifest in force; an empty one if none is stored."""
        stored = await self._store.read(MANIFEST_KEY)
        return decode_manifest(stored.body)

    async def read_digests(self, generation: int) -> dict[str, str]:
        """Return the digest of each file of ``generation``, by name.

        Raises
        ------
        BaseUnknownError
            If the audit records do not reach back to ``generation``.
        """
        manifest = await self.read_manifest()
        records = await self.read_last(manifest.generation - generation)
        return _rewind_digests(manifest, records, generation)

    async def _list_accepted(self, manifest: Manifest) -> Sequence[str]:
        recent = {
            build_record_key(publication.generation, publication.publish_id)
            for publication in manifest.history
        }
        oldest = min(
            (publication.generation for publication in manifest.history),
            default=0,
        )
        listed = await self._store.list_keys(AUDIT_PREFIX)
        return sorted(
            (
                key
                for key in listed
                if key in recent or parse_record_generation(key) < oldest
            ),
            reverse=True,
        )


def _rewind_digests(
    manifest: Manifest,
    records: Iterable[AuditRecord],
    generation: int,
) -> dict[str, str]:
    digests = map_digests(manifest)
    reached = manifest.generation
    for record in records:
        if reached > generation and record.to_generation == reached:
            reached = record.from_generation
            digests.update(
                (audited.name, audited.before) for audited in record.files
            )
    if reached != generation:
        raise BaseUnknownError(generation)
    return {name: digest for name, digest in digests.items() if digest}
