"""Requested changes of files, and the manifest that they result in."""

from collections.abc import Iterable, Sequence

import msgspec

from baobabhinge_coordination.generations.digests import compute_digest
from baobabhinge_coordination.generations.errors import PublishConflictError
from baobabhinge_coordination.generations.manifest import (
    Manifest,
    ManifestFile,
    Publication,
    RemovedFile,
)

ABSENT_DIGEST = ''
HISTORY_LENGTH = 128


class FileChange(msgspec.Struct, frozen=True):
    """A change of one file; equal digests mean that its text is unchanged.

    Parameters
    ----------
    name : str
        Name of the file.
    before : str
        Digest of the text that the author started from; empty for a new file.
    text : str, optional
        New text; ``None`` removes the file.
    """

    name: str
    before: str
    text: str | None

    @property
    def after(self) -> str:
        """Return the digest of the new text; empty for a removed file."""
        return ABSENT_DIGEST if self.text is None else compute_digest(self.text)


class PublishRequest(msgspec.Struct, frozen=True):
    """Changes that an operator asks to publish.

    Parameters
    ----------
    publish_id : str
        Unique identifier of this publication.
    author : str
        Who publishes.
    changes : tuple of FileChange
        At most one for each file.
    above : int
        Lower bound: the new generation is greater. Needed after the key-value
        service was restored from an older copy.
    """

    publish_id: str
    author: str
    changes: tuple[FileChange, ...]
    above: int = 0


def plan_manifest(manifest: Manifest, request: PublishRequest) -> Manifest:
    """Return the manifest that ``request`` results in.

    Parameters
    ----------
    manifest : Manifest
        Manifest in force.
    request : PublishRequest
        Requested changes.

    Returns
    -------
    Manifest
        The next manifest, or ``manifest`` itself if nothing changes.

    Raises
    ------
    PublishConflictError
        If another publication changed the same files.
    """
    changes = _select_effective(manifest, request.changes)
    if not changes:
        return manifest
    generation = max(manifest.generation, request.above) + 1
    history = (
        *manifest.history,
        Publication(generation, request.publish_id),
    )[-HISTORY_LENGTH:]
    return Manifest(
        generation,
        request.publish_id,
        _build_files(manifest, changes, request.author, generation),
        _build_removed(manifest, changes, history),
        history,
    )


def map_digests(manifest: Manifest) -> dict[str, str]:
    """Return the digest of each file of ``manifest``, by name."""
    return {listed.name: listed.digest for listed in manifest.files}


def _select_effective(
    manifest: Manifest,
    changes: Iterable[FileChange],
) -> Sequence[FileChange]:
    digests = map_digests(manifest)
    effective = [
        change
        for change in changes
        if digests.get(change.name, ABSENT_DIGEST) != change.after
    ]
    conflicts = [
        change.name
        for change in effective
        if digests.get(change.name, ABSENT_DIGEST) != change.before
    ]
    if conflicts:
        raise PublishConflictError(conflicts, manifest.generation)
    return effective


def _build_files(
    manifest: Manifest,
    changes: Sequence[FileChange],
    author: str,
    generation: int,
) -> tuple[ManifestFile, ...]:
    changed = {change.name for change in changes}
    files = [
        *(listed for listed in manifest.files if listed.name not in changed),
        *(
            ManifestFile(change.name, change.after, author, generation)
            for change in changes
            if change.text is not None
        ),
    ]
    return tuple(sorted(files, key=lambda listed: listed.name.encode()))


def _build_removed(
    manifest: Manifest,
    changes: Sequence[FileChange],
    history: Sequence[Publication],
) -> tuple[RemovedFile, ...]:
    changed = {change.name for change in changes}
    kept = (
        removed
        for removed in manifest.removed
        if removed.name not in changed
        and removed.generation > history[0].generation
    )
    added = (
        RemovedFile(change.name, history[-1].generation)
        for change in changes
        if change.text is None
    )
    return (*kept, *added)
