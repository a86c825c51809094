"""Manifest and release of a generation, and their keys in the store."""

import msgspec

MANIFEST_KEY = 'baobabhinge/manifest'
BODY_PREFIX = 'baobabhinge/files/'


class ManifestFile(msgspec.Struct, frozen=True):
    """One file of a manifest.

    Parameters
    ----------
    name : str
        Name of the file.
    digest : str
        SHA-256 digest of its text, in hexadecimal.
    author : str
        Who published this text.
    generation : int
        Generation that introduced this text.
    """

    name: str
    digest: str
    author: str
    generation: int = 0


class RemovedFile(msgspec.Struct, frozen=True):
    """A removed file, and the generation that removed it."""

    name: str
    generation: int


class Publication(msgspec.Struct, frozen=True):
    """A generation and the identifier of the publication that wrote it."""

    generation: int = 0
    publish_id: str = ''


class Manifest(msgspec.Struct, frozen=True):
    """The list of the files of one generation.

    Parameters
    ----------
    generation : int
        Number of the generation; grows with each accepted publication.
    publish_id : str
        Identifier of the publication that wrote it.
    files : tuple of ManifestFile
        Files in the byte order of their names.
    removed : tuple of RemovedFile
        Files that were removed since the oldest publication of ``history``.
    history : tuple of Publication
        The newest publications in order, that of this manifest last.
    """

    generation: int = 0
    publish_id: str = ''
    files: tuple[ManifestFile, ...] = ()
    removed: tuple[RemovedFile, ...] = ()
    history: tuple[Publication, ...] = ()

    def find_publication(self, publish_id: str) -> Publication | None:
        """Return the publication of ``publish_id`` if the history has it."""
        found = (each for each in self.history if each.publish_id == publish_id)
        return next(found, None)


class ReleaseFile(msgspec.Struct, frozen=True):
    """One file with its text and the generation that introduced it."""

    name: str
    text: str
    generation: int = 0


class Release(msgspec.Struct, frozen=True):
    """One generation with the texts of its files.

    Parameters
    ----------
    generation : int
        Number of the generation.
    files : tuple of ReleaseFile
        Files in the byte order of their names.
    removed, history : tuple
        As in the manifest.
    """

    generation: int = 0
    files: tuple[ReleaseFile, ...] = ()
    removed: tuple[RemovedFile, ...] = ()
    history: tuple[Publication, ...] = ()

    @property
    def publication(self) -> Publication:
        """Return the publication that wrote this generation."""
        return self.history[-1] if self.history else Publication()
