"""Manifest and release of a configuration."""

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
        Digest of its text, in hexadecimal.
    author : str
        Who published this text.
    generation : int
        Generation that brought this text.
    """

    name: str
    digest: str
    author: str
    generation: int = 0


class RemovedFile(msgspec.Struct, frozen=True):
    """A file that is gone, and the generation that removed it."""

    name: str
    generation: int


class Publication(msgspec.Struct, frozen=True):
    """A generation and the identifier of the publication that wrote it."""

    generation: int = 0
    publish_id: str = ''


class Manifest(msgspec.Struct, frozen=True):
    """What one generation consists of.

    Parameters
    ----------
    generation : int
        Grows with each accepted change.
    publish_id : str
        Identifier of the publication that wrote it.
    files : tuple of ManifestFile
        Files in the byte order of their names.
    removed : tuple of RemovedFile
        Files that were removed since the oldest publication of ``history``.
    history : tuple of Publication
        The newest publications, this one last.
    """

    generation: int = 0
    publish_id: str = ''
    files: tuple[ManifestFile, ...] = ()
    removed: tuple[RemovedFile, ...] = ()
    history: tuple[Publication, ...] = ()

    def find_publication(self, publish_id: str) -> Publication | None:
        """Return the publication called ``publish_id``, if it is known."""
        known = (one for one in self.history if one.publish_id == publish_id)
        return next(known, None)


class ReleaseFile(msgspec.Struct, frozen=True):
    """One file with its text and the generation that brought it."""

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
