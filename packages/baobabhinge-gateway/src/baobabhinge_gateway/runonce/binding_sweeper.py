"""Removal of old bindings of Idempotency-Keys."""

from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.store import KeyValueStore, StoreError
from baobabhinge_gateway.fleet import FleetView
from baobabhinge_gateway.fleet.rendezvous import pick_owner
from baobabhinge_gateway.runonce.binding import BINDING_PREFIX
from baobabhinge_gateway.supervision import supervised_task

SWEEP_INTERVAL = timedelta(hours=1)
REMOVAL_INTERVAL = timedelta(milliseconds=100)

log = structlog.get_logger(__name__)


class BindingSweeper:
    """Remove the bindings that two sweeps in a row have found.

    A binding therefore lives for at least the time between two sweeps of one
    process, and clocks of different vms need not be compared.

    Parameters
    ----------
    store : KeyValueStore
        Client of the key-value service.
    """

    __slots__ = ('_previous_names', '_store')

    def __init__(self, store: KeyValueStore) -> None:
        """Start without bindings of a previous sweep."""
        self._store = store
        self._previous_names: frozenset[str] = frozenset()

    async def list_old(self) -> list[str]:
        """Return the sorted bindings that the previous sweep found too."""
        names = frozenset(await self._store.list_keys(BINDING_PREFIX))
        old_names = names & self._previous_names
        self._previous_names = names - old_names
        return sorted(old_names)

    async def remove(self, name: str) -> None:
        """Remove the binding ``name`` unless it changes meanwhile."""
        stored = await self._store.read(name)
        await self._store.delete(name, stored.revision)


class SweepService(Service):
    """Sweep every `SWEEP_INTERVAL` on one gateway of the region.

    Gateways that disagree about the members of the region may sweep at the
    same time, which does no harm.

    Parameters
    ----------
    sweeper : BindingSweeper
        Removes the bindings.
    fleet : FleetView
        Gateways that are known.
    """

    def __init__(self, sweeper: BindingSweeper, fleet: FleetView) -> None:
        """Store the collaborators; the first sweep is after one interval."""
        super().__init__()
        self._sweeper = sweeper
        self._fleet = fleet

    @supervised_task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self.sleep(SWEEP_INTERVAL)
            if self._is_chosen():
                await self._sweep_once()

    def _is_chosen(self) -> bool:
        own = self._fleet.own
        names = {vm.name for vm in self._fleet.list_gateways(own.region)}
        chosen = pick_owner(BINDING_PREFIX, names | {own.gateway})
        return chosen == own.gateway

    async def _sweep_once(self) -> None:
        try:
            await self._remove_old()
        except StoreError as error:
            log.warning('sweep-ended', reason=type(error).__name__)

    async def _remove_old(self) -> None:
        for name in await self._sweeper.list_old():
            await self._sweeper.remove(name)
            await self.sleep(REMOVAL_INTERVAL)
