"""Reading releases from the key-value service."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.generations.messages import (
    BODY_PREFIX,
    MANIFEST_KEY,
    Manifest,
    ManifestFile,
    Release,
    ReleaseFile,
)
from baobabhinge_coordination.store import KeyValueStore


class ReleaseReader:
    """Follow the manifest; bodies that are known are not read again.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    """

    __slots__ = ('_revision', '_store', '_texts')

    def __init__(self, store: KeyValueStore) -> None:
        """Start before the first manifest."""
        self._store = store
        self._revision = 0
        self._texts: dict[str, str] = {}

    async def read_current(self) -> Release | None:
        """Return the release that the service holds now, if any."""
        stored = await self._store.read(MANIFEST_KEY)
        if not stored.revision:
            return None
        return await self._load(decode_manifest(stored.body))

    async def wait_newer(self, patience: timedelta) -> Release | None:
        """Return the next release, or ``None`` when ``patience`` ends."""
        stored = await self._store.watch(
            MANIFEST_KEY,
            self._revision,
            patience,
        )
        if stored.revision <= self._revision:
            return None
        release = await self._load(decode_manifest(stored.body))
        self._revision = stored.revision
        return release

    async def _load(self, manifest: Manifest) -> Release:
        files = [await self._load_file(listed) for listed in manifest.files]
        kept = {listed.digest for listed in manifest.files}
        self._texts = {
            digest: text
            for digest, text in self._texts.items()
            if digest in kept
        }
        return Release(manifest.generation, tuple(files))

    async def _load_file(self, listed: ManifestFile) -> ReleaseFile:
        text = self._texts.get(listed.digest)
        if text is None:
            stored = await self._store.read(f'{BODY_PREFIX}{listed.digest}')
            text = stored.body.decode()
            self._texts[listed.digest] = text
        return ReleaseFile(listed.name, text)


def decode_manifest(body: bytes) -> Manifest:
    """Return the manifest stored as ``body``; empty bytes mean none."""
    if not body:
        return Manifest()
    return msgspec.json.decode(body, type=Manifest)
