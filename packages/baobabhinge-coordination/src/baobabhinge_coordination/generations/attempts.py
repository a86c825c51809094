"""One attempt to swap the manifest, and doubt about an earlier one."""

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
    """One attempt.

    Parameters
    ----------
    request : PublishRequest
        What is wanted.
    manifest, planned : Manifest
        Manifest in force, and the one that is to replace it.
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
        """Return the name under which this attempt writes."""
        publish_id = self.request.publish_id
        return f'{publish_id}/{self.number}'

    def merge_files(self, release: Release) -> Sequence[ReleaseFile]:
        """Return the files of ``release`` with the changes put in."""
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
    """Whether a swap whose answer was lost may still take effect.

    It can't any more once the manifest has another revision than the swap
    expected.
    """

    __slots__ = ('_revision',)

    def __init__(self) -> None:
        """Start without doubt."""
        self._revision: int | None = None

    @property
    def is_pending(self) -> bool:
        """Return whether a swap may have taken effect."""
        return self._revision is not None

    def record_lost_answer(self, revision: int) -> None:
        """Note that the answer of a swap at ``revision`` was lost."""
        self._revision = revision

    def build_error(self, publish_id: str) -> PublishError:
        """Return the error of a publication that gave up."""
        if self.is_pending:
            return PublishUnknownError(publish_id)
        return PublishRacedError()

    def update(self, revision: int) -> None:
        """Note that the manifest, without the publication, is at a revision."""
        if revision != self._revision:
            self._revision = None
