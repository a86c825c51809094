"""Publication of changes as the next generation."""

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
from baobabhinge_coordination.store.retrying import RetryingStore

MAX_ATTEMPTS = 20
READ_BACK_DELAY = timedelta(milliseconds=500)

ReleaseChecker = Callable[[Sequence[ReleaseFile]], None]
Sleep = Callable[[timedelta], Awaitable[None]]


class Publisher:
    """Publish: check the merged files, write texts, swap the manifest.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    check : callable
        Checks the merged files; raises an error of its own if they can't be
        in force together.
    clock : Clock
        Clock of the audit records.
    sleep : callable
        Waits for a duration.
    """

    __slots__ = ('_check', '_reader', '_sleep', '_store', '_writer')

    def __init__(
        self,
        store: KeyValueStore,
        check: ReleaseChecker,
        clock: Clock,
        sleep: Sleep,
    ) -> None:
        """Store the collaborators; no call is made."""
        retrying = RetryingStore(store, sleep)
        self._store = retrying
        self._reader = ReleaseReader(retrying)
        self._writer = ManifestWriter(retrying, clock)
        self._check = check
        self._sleep = sleep

    async def publish(self, request: PublishRequest) -> Publication:
        """Publish the changes of ``request`` as the next generation.

        Changes of other files that were accepted meanwhile are kept, and the
        merged files are checked again. Makes at most
        ``MAX_ATTEMPTS`` attempts.

        Returns
        -------
        Publication
            The accepted generation, or the one in force if nothing changes.

        Raises
        ------
        PublishConflictError
            If another publication changed the same files; no change made.
        PublishRacedError
            If others came first in every attempt; no change made.
        PublishUnavailableError
            If the key-value service failed; no change made.
        PublishUnknownError
            If the changes may have been accepted.
        """
        unresolved = UnresolvedSwap()
        for number in range(MAX_ATTEMPTS):
            accepted = await self._attempt_or_wait(request, unresolved, number)
            if accepted is not None:
                return accepted
        raise unresolved.build_error(request.publish_id)

    async def _attempt_or_wait(
        self,
        request: PublishRequest,
        unresolved: UnresolvedSwap,
        number: int,
    ) -> Publication | None:
        try:
            return await self._attempt_once(request, unresolved, number)
        except BodyMissingError:
            return None
        except StoreError as error:
            if not unresolved.is_pending:
                raise PublishUnavailableError(str(error)) from error
        await self._sleep(READ_BACK_DELAY)
        return None

    async def _attempt_once(
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
        await self._check_merged_files(attempt)
        return await self._swap(attempt, unresolved)

    async def _check_merged_files(self, attempt: PublishAttempt) -> None:
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
