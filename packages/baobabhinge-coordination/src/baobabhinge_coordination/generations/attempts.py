"""Attempts to swap the manifest, and swaps whose answers were lost."""

from collections.abc import Sequence

import msgspec

from baobabhinge_coordination.generations.changes import PublishRequest
from baobabhinge_coordination.generations.errors import (
    PublishError,
    PublishRacedError,
    PublishUnknownError,
)
from baobabhinge_coordination.generations.manifest import (
    Manifest,
    Release,
    ReleaseFile,
)


class PublishAttempt(msgspec.Struct, frozen=True):
    """One attempt to publish a request.

    Parameters
    ----------
    request : PublishRequest
        Requested changes.
    manifest, planned : Manifest
        Manifest in force, and the manifest that is to replace it.
    revision : int
        Revision of the manifest in force.
    number : int
        Number of earlier attempts.
    """

    request: PublishRequest
    manifest: Manifest
    planned: Manifest
    revision: int
    number: int

    @property
    def writer(self) -> str:
        """Return the identifier that this attempt stores with its texts."""
        publish_id = self.request.publish_id
        return f'{publish_id}/{self.number}'

    def merge_files(self, release: Release) -> Sequence[ReleaseFile]:
        """Return the planned files with texts, changed ones included."""
        texts = {source.name: source.text for source in release.files}
        texts.update(
            (change.name, change.text)
            for change in self.request.changes
            if change.text is not None
        )
        return [
            ReleaseFile(listed.name, texts[listed.name], listed.generation)
            for listed in self.planned.files
        ]


class UnresolvedSwap:
    """A swap of the manifest whose answer was lost, if there is one.

    Such a swap may still take effect as long as the manifest has the revision
    that the swap expected, and can't once the manifest has another revision.
    """

    __slots__ = ('_revision',)

    def __init__(self) -> None:
        """Start without an unresolved swap."""
        self._revision: int | None = None

    @property
    def is_pending(self) -> bool:
        """Return whether a swap may still take effect."""
        return self._revision is not None

    def record_lost_answer(self, revision: int) -> None:
        """Record that the answer to a swap at ``revision`` was lost."""
        self._revision = revision

    def build_error(self, publish_id: str) -> PublishError:
        """Return the error to raise after the last attempt."""
        if self.is_pending:
            return PublishUnknownError(publish_id)
        return PublishRacedError()

    def update(self, revision: int) -> None:
        """Drop the unresolved swap if the manifest has another ``revision``.

        Called with a manifest that does not contain the publication.
        """
        if revision != self._revision:
            self._revision = None
