"""Publishing changes as the next generation."""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.generations.attempts import (
    PublishAttempt,
    UnresolvedSwap,
)
from baobabhinge_coordination.generations.changes import (
    PublishRequest,
    plan_manifest,
)
from baobabhinge_coordination.generations.errors import (
    BodyMissingError,
    PublishUnavailableError,
)
from baobabhinge_coordination.generations.manifest import (
    MANIFEST_KEY,
    Publication,
    ReleaseFile,
)
from baobabhinge_coordination.generations.manifest_writer import ManifestWriter
from baobabhinge_coordination.generations.release_reader import (
    ReleaseReader,
    decode_manifest,
)
from baobabhinge_coordination.store import (
    KeyValueStore,
    StoreAnswerLostError,
    StoreError,
)
from baobabhinge_coordination.store.pacing import PacedStore

MAX_ATTEMPTS = 20
READ_BACK_DELAY = timedelta(milliseconds=500)

ReleaseChecker = Callable[[Sequence[ReleaseFile]], None]
Pause = Callable[[timedelta], Awaitable[None]]


class Publisher:
    """Check the merged whole, write bodies, then swap the manifest.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    check : callable
        Raises an error of its own when the files can't be in force together.
    clock : Clock
        Clock of the audit records.
    pause : callable
        Waits for a duration.
    """

    __slots__ = ('_check', '_pause', '_reader', '_store', '_writer')

    def __init__(
        self,
        store: KeyValueStore,
        check: ReleaseChecker,
        clock: Clock,
        pause: Pause,
    ) -> None:
        """Keep the parts; no call is made."""
        paced = PacedStore(store, pause)
        self._store = paced
        self._reader = ReleaseReader(paced)
        self._writer = ManifestWriter(paced, clock)
        self._check = check
        self._pause = pause

    async def publish(self, request: PublishRequest) -> Publication:
        """Make the changes of ``request`` part of the next generation.

        Changes of other files that were accepted meanwhile are kept, and the
        merged whole is checked again.

        Returns
        -------
        Publication
            The accepted generation, or the one in force if nothing changes.

        Raises
        ------
        PublishConflictError
            If someone else changed the same files; nothing was changed.
        PublishRacedError
            If others came first each time; nothing was changed.
        PublishUnavailableError
            If the service failed; nothing was changed.
        PublishUnknownError
            If the changes may have been accepted.
        """
        unresolved = UnresolvedSwap()
        for number in range(MAX_ATTEMPTS):
            accepted = await self._try_or_wait(request, unresolved, number)
            if accepted is not None:
                return accepted
        raise unresolved.build_error(request.publish_id)

    async def _try_or_wait(
        self,
        request: PublishRequest,
        unresolved: UnresolvedSwap,
        number: int,
    ) -> Publication | None:
        try:
            return await self._try_once(request, unresolved, number)
        except BodyMissingError:
            return None
        except StoreError as failed:
            if not unresolved.is_pending:
                raise PublishUnavailableError(str(failed)) from failed
        await self._pause(READ_BACK_DELAY)
        return None

    async def _try_once(
        self,
        request: PublishRequest,
        unresolved: UnresolvedSwap,
        number: int,
    ) -> Publication | None:
        stored = await self._store.read(MANIFEST_KEY)
        manifest = decode_manifest(stored.body)
        accepted = manifest.find_publication(request.publish_id)
        if accepted is not None:
            return accepted
        unresolved.update(stored.revision)
        planned = plan_manifest(manifest, request)
        if planned is manifest:
            return Publication(manifest.generation, manifest.publish_id)
        attempt = PublishAttempt(
            request, manifest, planned, stored.revision, number
        )
        await self._check_whole(attempt)
        return await self._swap(attempt, unresolved)

    async def _check_whole(self, attempt: PublishAttempt) -> None:
        release = await self._reader.load(attempt.manifest)
        self._check(attempt.merge_files(release))

    async def _swap(
        self,
        attempt: PublishAttempt,
        unresolved: UnresolvedSwap,
    ) -> Publication | None:
        await self._writer.prepare(attempt)
        try:
            swapped = await self._writer.swap(attempt)
        except StoreAnswerLostError:
            unresolved.record_lost_answer(attempt.revision)
            raise
        if not swapped:
            return None
        await self._writer.delete_unused()
        return attempt.planned.history[-1]
