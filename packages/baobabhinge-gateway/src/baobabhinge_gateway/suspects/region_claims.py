"""Claims of suspects, asked from the gateways of the region."""

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
    """One run of a suspect, and one suspect on an engine, at a time.

    Parameters
    ----------
    claims : RunClaims
        What this gateway runs.
    notifier : SuspectNotifier
        The way to the other gateways.
    """

    __slots__ = ('_claims', '_notifier')

    def __init__(self, claims: RunClaims, notifier: SuspectNotifier) -> None:
        """Keep the parts."""
        self._claims = claims
        self._notifier = notifier

    def track_run(self, fingerprint: str) -> AbstractContextManager[None]:
        """Count a call as running while the context is open."""
        return self._claims.track_run(fingerprint)

    async def notify_crashes(self) -> None:
        """Have the other gateways confirm every crash."""
        await self._notifier.notify()

    @asynccontextmanager
    async def hold(
        self,
        wanted: str,
        patience: timedelta,
    ) -> AsyncIterator[None]:
        """Hold the claim of a suspect that all gateways know.

        Raises
        ------
        AnswerBrokenError
            If it is not free within ``patience``.
        """
        await wait_within(self._acquire(wanted), patience)
        try:
            yield
        finally:
            self._claims.release(wanted)

    def hold_engine(
        self,
        engine: str,
        patience: timedelta,
    ) -> AbstractAsyncContextManager[None]:
        """Hold the claim to run a suspect on ``engine``.

        Raises
        ------
        AnswerBrokenError
            If it is not free within ``patience``.
        """
        return self.hold(f'{ENGINE_PREFIX}{engine}', patience)

    async def _acquire(self, wanted: str) -> None:
        while not await self._ask(wanted):
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    async def _ask(self, wanted: str) -> bool:
        if not self._claims.begin(wanted):
            return False
        try:
            is_free = await self._notifier.notify(wanted)
        except asyncio.CancelledError:
            self._claims.release(wanted)
            raise
        return self._claims.settle(wanted, is_free=is_free)
