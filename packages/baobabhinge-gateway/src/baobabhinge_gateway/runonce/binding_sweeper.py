"""Removing old bindings of Idempotency-Keys."""

from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.store import KeyValueStore, StoreError
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.fleet.rendezvous import pick_owner
from baobabhinge_gateway.runonce.binding import BINDING_PREFIX

SWEEP_INTERVAL = timedelta(hours=1)
PAUSE = timedelta(milliseconds=100)

log = structlog.get_logger(__name__)


class BindingSweeper:
    """Remove the bindings that two sweeps in a row have seen.

    No clock is compared with another's: a binding lives for at least the time
    between two sweeps of one process.

    Parameters
    ----------
    store : KeyValueStore
        The key-value service.
    """

    __slots__ = ('_seen', '_store')

    def __init__(self, store: KeyValueStore) -> None:
        """Start without having seen any."""
        self._store = store
        self._seen: frozenset[str] = frozenset()

    async def list_old(self) -> list[str]:
        """Return the bindings that the sweep before has seen too."""
        names = frozenset(await self._store.list_keys(BINDING_PREFIX))
        old = names & self._seen
        self._seen = names - old
        return sorted(old)

    async def remove(self, name: str) -> None:
        """Remove one binding."""
        stored = await self._store.read(name)
        await self._store.delete(name, stored.revision)


class SweepService(Service):
    """Sweep from one gateway of each region; two of them do no harm.

    Parameters
    ----------
    sweeper : BindingSweeper
        Remover of bindings.
    fleet : FleetView
        Known vms.
    """

    def __init__(self, sweeper: BindingSweeper, fleet: FleetView) -> None:
        """Sweep nothing yet."""
        super().__init__()
        self._sweeper = sweeper
        self._fleet = fleet

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_INTERVAL)
            if self._is_chosen():
                await self._sweep_once()

    def _is_chosen(self) -> bool:
        home = self._fleet.home
        names = {vm.name for vm in self._fleet.list_gateways(home.region)}
        chosen = pick_owner(BINDING_PREFIX, names | {home.gateway})
        return chosen == home.gateway

    async def _sweep_once(self) -> None:
        try:
            await self._remove_old()
        except StoreError as down:
            log.warning('sweep-ended', reason=type(down).__name__)

    async def _remove_old(self) -> None:
        for name in await self._sweeper.list_old():
            await self._sweeper.remove(name)
            await self.sleep(PAUSE)
