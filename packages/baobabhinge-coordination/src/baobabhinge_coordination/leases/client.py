"""Client that acquires, renews and releases a lease.

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

    The time to live is counted from before the request that acquired or
    renewed the lease, so the lease ends here before it ends at the service,
    whatever the delays. A process that was paused finds it expired at the next
    `require`.

    Parameters
    ----------
    store : KeyValueStore
        Store from which the holder of the key is read.
    leases : LeaseStore
        Store that grants and renews leases.
    clock : Clock
        Monotonic clock by which the lease expires.
    options : LeaseOptions
        Key of the lease, its holder and its duration.
    """

    __slots__ = (
        '_clock',
        '_ends',
        '_fencing',
        '_leases',
        '_options',
        '_session',
        '_store',
    )

    def __init__(
        self,
        store: KeyValueStore,
        leases: LeaseStore,
        clock: Clock,
        options: LeaseOptions,
    ) -> None:
        """Start without the lease; no call is made."""
        self._store = store
        self._leases = leases
        self._clock = clock
        self._options = options
        self._session = ''
        self._ends = timedelta()
        self._fencing = 0

    def require(self) -> Lease:
        """Return the lease; call it before each action that needs the lease.

        Raises
        ------
        LeaseNotHeldError
            If it is not held, or may have expired.
        """
        if self._fencing and self._clock.read_monotonic() < self._ends:
            return Lease(self._fencing, self._ends)
        raise LeaseNotHeldError(self._options.key)

    def abandon(self) -> None:
        """Stop using the lease until `renew_or_acquire` gets it again."""
        self._fencing = 0

    async def renew_or_acquire(self) -> None:
        """Renew the lease, or acquire it if nobody holds it.

        Raises
        ------
        StoreError
            If the service fails; a held lease stays valid until it expires.
        """
        if self._fencing and self._clock.read_monotonic() < self._ends:
            await self._renew()
            return
        self._fencing = 0
        stored = await self._store.read(self._options.key)
        if stored.session in {None, self._session}:
            await self._renew()
            await self._acquire()

    async def release(self) -> None:
        """Stop using the lease and release its key.

        Raises
        ------
        StoreError
            If the service fails; the lease then expires by itself.
        """
        self._fencing = 0
        if self._session:
            await self._leases.release(self._options.key, self._session)

    async def _renew(self) -> None:
        started = self._clock.read_monotonic()
        if not self._session or not await self._leases.renew(self._session):
            self._fencing = 0
            started = self._clock.read_monotonic()
            self._session = await self._leases.grant(self._options.time_to_live)
        self._ends = started + self._options.time_to_live - self._options.margin

    async def _acquire(self) -> None:
        key = self._options.key
        body = msgspec.json.encode(self._options.holder)
        # A call whose answer is lost may have taken effect; the read below
        # shows whether it did.
        with suppress(StoreAnswerLostError):
            await self._leases.acquire(key, body, self._session)
        stored = await self._store.read(key)
        if stored.session == self._session:
            self._fencing = stored.revision


def is_held(client: LeaseClient) -> bool:
    """Return whether ``client`` holds its lease."""
    try:
        client.require()
    except LeaseNotHeldError:
        return False
    return True
