"""Reader of releases in the key-value service."""

from datetime import timedelta

import msgspec

from baobabhinge_coordination.generations.errors import BodyMissingError
from baobabhinge_coordination.generations.manifest import (
    BODY_PREFIX,
    MANIFEST_KEY,
    Manifest,
    ManifestFile,
    Release,
    ReleaseFile,
)
from baobabhinge_coordination.store import ABSENT_REVISION, KeyValueStore


class FileBody(msgspec.Struct, frozen=True):
    """The stored form of a text.

    Parameters
    ----------
    text : str
        Text of the file.
    writer : str
        Publication and attempt that wrote it last. It makes each write change
        the stored bytes, and so the revision.
    """

    text: str
    writer: str


class ReleaseReader:
    """Read releases; texts that the previous release had are cached.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    """

    __slots__ = ('_revision', '_store', '_texts')

    def __init__(self, store: KeyValueStore) -> None:
        """Start without a manifest and without cached texts."""
        self._store = store
        self._revision = ABSENT_REVISION
        self._texts: dict[str, str] = {}

    @property
    def has_manifest(self) -> bool:
        """Return whether the last completed watch found a manifest."""
        return self._revision != ABSENT_REVISION

    async def read_current(self) -> Release | None:
        """Return the release in force, ``None`` without a manifest."""
        stored = await self._store.read(MANIFEST_KEY)
        if not stored.revision:
            return None
        return await self.load(decode_manifest(stored.body))

    async def wait_for_newer(self, max_wait: timedelta) -> Release | None:
        """Return the next release, or ``None`` after ``max_wait``.

        ``None`` is returned at once if the service holds no manifest.
        """
        stored = await self._store.watch(
            MANIFEST_KEY,
            self._revision,
            max_wait,
        )
        if stored.revision == self._revision:
            return None
        release = None
        if stored.revision:
            release = await self.load(decode_manifest(stored.body))
        self._revision = stored.revision
        return release

    async def load(self, manifest: Manifest) -> Release:
        """Return the release of ``manifest``.

        Raises
        ------
        BodyMissingError
            If a newer manifest has replaced ``manifest`` meanwhile.
        """
        files = [await self._load_file(listed) for listed in manifest.files]
        kept = {listed.digest for listed in manifest.files}
        self._texts = {
            digest: text
            for digest, text in self._texts.items()
            if digest in kept
        }
        return Release(
            manifest.generation,
            tuple(files),
            manifest.removed,
            manifest.history,
        )

    async def _load_file(self, listed: ManifestFile) -> ReleaseFile:
        text = self._texts.get(listed.digest)
        if text is None:
            text = await self._read_text(listed)
            self._texts[listed.digest] = text
        return ReleaseFile(listed.name, text, listed.generation)

    async def _read_text(self, listed: ManifestFile) -> str:
        stored = await self._store.read(f'{BODY_PREFIX}{listed.digest}')
        if not stored.revision:
            raise BodyMissingError(
                f'the text of {listed.name} was deleted: a newer manifest has'
                ' replaced this one',
            )
        return msgspec.json.decode(stored.body, type=FileBody).text


def decode_manifest(body: bytes) -> Manifest:
    """Return the manifest encoded in ``body``, an empty one if it is empty."""
    if not body:
        return Manifest()
    return msgspec.json.decode(body, type=Manifest)
