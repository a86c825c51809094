"""Getting a lease, keeping it and noticing its end.

References
----------
C. Gray and D. Cheriton, "Leases: an efficient fault-tolerant mechanism for
distributed file cache consistency", 1989.
"""

from contextlib import suppress
from datetime import timedelta

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.leases.lease import (
    Lease,
    LeaseNotHeldError,
    LeaseOptions,
)
from baobabhinge_coordination.store import (
    KeyValueStore,
    LeaseStore,
    StoreAnswerLostError,
)


class LeaseClient:
    """One contender for a lease.

    The lease is counted from before the request that got or renewed it, so it
    ends here before it ends at the service, whatever the delays. A process
    that was paused finds it ended when it asks again.

    Parameters
    ----------
    store : KeyValueStore
        Tells who holds the key.
    leases : LeaseStore
        Grants and renews.
    clock : Clock
        Monotonic clock by which the lease ends.
    terms : LeaseOptions
        What is leased, and for how long.
    """

    __slots__ = (
        '_clock',
        '_ends',
        '_fencing',
        '_leases',
        '_session',
        '_store',
        '_terms',
    )

    def __init__(
        self,
        store: KeyValueStore,
        leases: LeaseStore,
        clock: Clock,
        terms: LeaseOptions,
    ) -> None:
        """Hold nothing; no call is made."""
        self._store = store
        self._leases = leases
        self._clock = clock
        self._terms = terms
        self._session = ''
        self._ends = timedelta()
        self._fencing = 0

    def require(self) -> Lease:
        """Return the lease; to be called right before each use.

        Raises
        ------
        LeaseNotHeldError
            If it is not held, or may have lapsed.
        """
        if self._fencing and self._clock.read_monotonic() < self._ends:
            return Lease(self._fencing, self._ends)
        raise LeaseNotHeldError(self._terms.key)

    def abandon(self) -> None:
        """Stop using the lease until `renew_or_acquire` gets it again."""
        self._fencing = 0

    async def renew_or_acquire(self) -> None:
        """Renew the lease, or take it if nobody holds it.

        Raises
        ------
        StoreError
            If the service fails; a lease that is held runs on to its end.
        """
        if self._fencing and self._clock.read_monotonic() < self._ends:
            await self._renew()
            return
        self._fencing = 0
        stored = await self._store.read(self._terms.key)
        if stored.session in {None, self._session}:
            await self._renew()
            await self._acquire()

    async def release(self) -> None:
        """Stop using the lease and give it back.

        Raises
        ------
        StoreError
            If the service fails; the lease then lapses by itself.
        """
        self._fencing = 0
        if self._session:
            await self._leases.release(self._terms.key, self._session)

    async def _renew(self) -> None:
        started = self._clock.read_monotonic()
        if not self._session or not await self._leases.renew(self._session):
            self._fencing = 0
            started = self._clock.read_monotonic()
            self._session = await self._leases.grant(self._terms.time_to_live)
        self._ends = started + self._terms.time_to_live - self._terms.margin

    async def _acquire(self) -> None:
        key = self._terms.key
        body = msgspec.json.encode(self._terms.holder)
        # A call whose answer is lost may have taken effect: the read tells.
        with suppress(StoreAnswerLostError):
            await self._leases.acquire(key, body, self._session)
        stored = await self._store.read(key)
        if stored.session == self._session:
            self._fencing = stored.revision


def is_held(keeper: LeaseClient) -> bool:
    """Tell whether ``keeper`` holds its lease."""
    try:
        keeper.require()
    except LeaseNotHeldError:
        return False
    return True
