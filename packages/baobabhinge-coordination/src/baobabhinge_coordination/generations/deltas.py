"""What a peer that holds an older release is missing."""

import msgspec

from baobabhinge_coordination.errors import CoordinationError
from baobabhinge_coordination.generations.manifest import (
    Publication,
    Release,
    ReleaseFile,
    RemovedFile,
)


class DeltaMismatchError(CoordinationError):
    """The delta is for another release than the one that is held."""


class ReleaseDelta(msgspec.Struct, frozen=True):
    """The difference of two releases, or a whole release.

    Parameters
    ----------
    since : Publication
        Release that it is for; generation 0 stands for any release, and then
        ``files`` are all files.
    generation : int
        Generation that it leads to.
    files : tuple of ReleaseFile
        Files that are new or changed.
    removed, history : tuple
        Those of the release that it leads to.
    """

    since: Publication
    generation: int
    files: tuple[ReleaseFile, ...]
    removed: tuple[RemovedFile, ...]
    history: tuple[Publication, ...]


def build_delta(release: Release, since: Publication) -> ReleaseDelta:
    """Return what leads from ``since`` to ``release``.

    A publication that ``release`` does not know in its history gets the whole
    release.
    """
    base = since if since in release.history else Publication()
    files = tuple(
        source
        for source in release.files
        if source.generation > base.generation
    )
    return ReleaseDelta(
        base,
        release.generation,
        files if base.generation else release.files,
        release.removed,
        release.history,
    )


def apply_delta(release: Release, delta: ReleaseDelta) -> Release:
    """Return the release that ``delta`` leads to.

    Raises
    ------
    DeltaMismatchError
        If ``delta`` is for another release than ``release``.
    """
    kept: list[ReleaseFile] = []
    if delta.since.generation:
        if delta.since != release.publication:
            raise DeltaMismatchError('the delta is for another generation')
        gone = {removed.name for removed in delta.removed}
        gone.update(source.name for source in delta.files)
        kept.extend(each for each in release.files if each.name not in gone)
    files = sorted(
        (*kept, *delta.files),
        key=lambda source: source.name.encode(),
    )
    return Release(
        delta.generation,
        tuple(files),
        delta.removed,
        delta.history,
    )
