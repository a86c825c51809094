"""Differences of releases, sent to peers that hold an older release."""

import msgspec

from baobabhinge_coordination.errors import CoordinationError
from baobabhinge_coordination.generations.manifest import (
    Publication,
    Release,
    ReleaseFile,
    RemovedFile,
)


class DeltaMismatchError(CoordinationError):
    """The delta starts from another release than the held one."""


class ReleaseDelta(msgspec.Struct, frozen=True):
    """The difference of two releases, or a complete release.

    Parameters
    ----------
    since : Publication
        Publication of the release that the delta starts from. Generation 0
        stands for any release: ``files`` then holds all files.
    generation : int
        Generation that the delta results in.
    files : tuple of ReleaseFile
        New and changed files.
    removed, history : tuple
        As in the resulting release.
    """

    since: Publication
    generation: int
    files: tuple[ReleaseFile, ...]
    removed: tuple[RemovedFile, ...]
    history: tuple[Publication, ...]


def build_delta(release: Release, since: Publication) -> ReleaseDelta:
    """Return the delta from ``since`` to ``release``.

    The delta holds the complete release if ``since`` is not in its history.
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
    """Return the release that results from ``delta``.

    Raises
    ------
    DeltaMismatchError
        If ``delta`` starts from another release than ``release``.
    """
    kept: list[ReleaseFile] = []
    if delta.since.generation:
        if delta.since != release.publication:
            raise DeltaMismatchError(
                'the delta starts from another release than the held one',
            )
        replaced = {removed.name for removed in delta.removed}
        replaced.update(source.name for source in delta.files)
        kept.extend(each for each in release.files if each.name not in replaced)
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
