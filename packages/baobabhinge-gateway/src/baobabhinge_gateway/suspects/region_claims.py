"""Claims of suspects, confirmed by the gateways of the region."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AbstractContextManager,
    asynccontextmanager,
)
from datetime import timedelta

from baobabhinge_coordination.suspects import RunClaims
from baobabhinge_gateway.backends.silence_limits import wait_within
from baobabhinge_gateway.suspects.notifier import SuspectNotifier

ENGINE_PREFIX = 'engine '
RETRY_INTERVAL = timedelta(milliseconds=100)


class RegionClaims:
    """Claims for one run of a suspect and one suspect on an engine at a time.

    Parameters
    ----------
    claims : RunClaims
        Runs and claims of this gateway.
    notifier : SuspectNotifier
        Sends the claims to the other gateways.
    """

    __slots__ = ('_claims', '_notifier')

    def __init__(self, claims: RunClaims, notifier: SuspectNotifier) -> None:
        """Store the collaborators."""
        self._claims = claims
        self._notifier = notifier

    def track_run(self, fingerprint: str) -> AbstractContextManager[None]:
        """Record a call as running while the context is open."""
        return self._claims.track_run(fingerprint)

    async def notify_crashes(self) -> None:
        """Send all crashes and wait until the other gateways confirm them."""
        await self._notifier.notify()

    @asynccontextmanager
    async def hold(
        self,
        wanted: str,
        max_wait: timedelta,
    ) -> AsyncIterator[None]:
        """Hold a claim on a suspect or engine while the context is open.

        Before it is granted, the reachable gateways of the region have
        confirmed the claim and the crashes that this gateway knows.

        Raises
        ------
        AnswerBrokenError
            If the claim is not free within ``max_wait``.
        """
        await wait_within(self._acquire(wanted), max_wait)
        try:
            yield
        finally:
            self._claims.release(wanted)

    def hold_engine(
        self,
        engine: str,
        max_wait: timedelta,
    ) -> AbstractAsyncContextManager[None]:
        """Hold the claim to run a suspect on ``engine``.

        Raises
        ------
        AnswerBrokenError
            If the claim is not free within ``max_wait``.
        """
        return self.hold(f'{ENGINE_PREFIX}{engine}', max_wait)

    async def _acquire(self, wanted: str) -> None:
        while not await self._try_acquire(wanted):
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    async def _try_acquire(self, wanted: str) -> bool:
        if not self._claims.begin(wanted):
            return False
        try:
            is_free = await self._notifier.notify(wanted)
        except asyncio.CancelledError:
            self._claims.release(wanted)
            raise
        return self._claims.settle(wanted, is_free=is_free)
