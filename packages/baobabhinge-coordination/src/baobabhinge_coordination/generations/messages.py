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
    """

    name: str
    digest: str
    author: str


class Manifest(msgspec.Struct, frozen=True):
    """What one generation consists of.

    Parameters
    ----------
    generation : int
        Grows by one with each accepted change.
    publish_id : str
        Identifier of the publication that wrote it.
    files : tuple of ManifestFile
        Files in the byte order of their names.
    """

    generation: int = 0
    publish_id: str = ''
    files: tuple[ManifestFile, ...] = ()


class ReleaseFile(msgspec.Struct, frozen=True):
    """One file with its text."""

    name: str
    text: str


class Release(msgspec.Struct, frozen=True):
    """One generation with the texts of its files."""

    generation: int = 0
    files: tuple[ReleaseFile, ...] = ()
