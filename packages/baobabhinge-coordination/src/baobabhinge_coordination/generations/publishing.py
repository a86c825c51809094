"""Publishing a changed folder as the next generation."""

from collections.abc import Sequence

import msgspec

from baobabhinge_coordination.errors import CoordinationError
from baobabhinge_coordination.generations.digests import compute_digest
from baobabhinge_coordination.generations.messages import (
    BODY_PREFIX,
    MANIFEST_KEY,
    Manifest,
    ManifestFile,
    ReleaseFile,
)
from baobabhinge_coordination.generations.reading import decode_manifest
from baobabhinge_coordination.store import KeyValueStore


class PublishConflictError(CoordinationError):
    """Another publication was accepted meanwhile."""


class Publisher:
    """Write bodies, then swap the manifest.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    author : str
        Who publishes.
    """

    __slots__ = ('_author', '_store')

    def __init__(self, store: KeyValueStore, author: str) -> None:
        """Keep the store; no call is made."""
        self._store = store
        self._author = author

    async def publish(
        self,
        files: Sequence[ReleaseFile],
        publish_id: str,
    ) -> int:
        """Make ``files`` the next generation.

        Parameters
        ----------
        files : sequence of ReleaseFile
            The whole folder.
        publish_id : str
            Identifier of this publication, new for each.

        Returns
        -------
        int
            The accepted generation.

        Raises
        ------
        PublishConflictError
            If another publication was accepted meanwhile.
        """
        stored = await self._store.read(MANIFEST_KEY)
        manifest = Manifest(
            decode_manifest(stored.body).generation + 1,
            publish_id,
            tuple([await self._write_body(source) for source in files]),
        )
        encoded = msgspec.json.encode(manifest)
        if await self._store.swap(MANIFEST_KEY, encoded, stored.revision):
            return manifest.generation
        raise PublishConflictError('another publication came first; try again')

    async def _write_body(self, source: ReleaseFile) -> ManifestFile:
        digest = compute_digest(source.text)
        key = f'{BODY_PREFIX}{digest}'
        await self._store.swap(key, source.text.encode(), 0)
        return ManifestFile(source.name, digest, self._author)
