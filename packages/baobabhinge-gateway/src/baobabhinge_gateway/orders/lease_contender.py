"""Acquisition and renewal of the lease of the region."""

from contextlib import suppress
from datetime import timedelta
from random import Random

import structlog
from mode import Service

from baobabhinge_coordination.backoff import Backoff
from baobabhinge_coordination.leases import LeaseClient, is_held
from baobabhinge_coordination.store import StoreError
from baobabhinge_gateway.fleet import FleetView, pick_owners
from baobabhinge_gateway.supervision import supervised_task

LEASE_PREFIX = 'baobabhinge/leases/'
CONTENDERS_PER_REGION = 2
RENEW_INTERVAL = timedelta(seconds=3)

log = structlog.get_logger(__name__)


class LeaseContender(Service):
    """Renew the lease while it is held; else try to acquire it.

    Only `CONTENDERS_PER_REGION` gateways of a region contend, so that the
    calls to the key-value service do not grow with the number of gateways.

    Parameters
    ----------
    lease_client : LeaseClient
        Client of the lease of the region.
    fleet : FleetView
        Gateways of the region.
    random : Random
        Jitter of the delays after failures.
    """

    def __init__(
        self,
        lease_client: LeaseClient,
        fleet: FleetView,
        random: Random,
    ) -> None:
        """Store the collaborators; the lease is not held."""
        super().__init__()
        self._lease_client = lease_client
        self._fleet = fleet
        self._backoff = Backoff(random)

    async def on_stop(self) -> None:
        """Release the lease, if the store can be reached."""
        with suppress(StoreError):
            await self._lease_client.release()

    @supervised_task
    async def _contend(self) -> None:
        while not self.should_stop:
            delay = RENEW_INTERVAL
            if is_held(self._lease_client) or self._is_contender():
                delay = await self._renew_lease()
            await self.sleep(delay)

    async def _renew_lease(self) -> timedelta:
        try:
            await self._lease_client.renew_or_acquire()
        except StoreError as error:
            log.warning('lease-not-renewed', reason=type(error).__name__)
            return self._backoff.draw_delay()
        self._backoff.reset()
        return RENEW_INTERVAL

    def _is_contender(self) -> bool:
        region = self._fleet.own.region
        names = [vm.name for vm in self._fleet.list_gateways(region)]
        candidates = {*names, self._fleet.own.gateway}
        key = f'{LEASE_PREFIX}{region}'
        owners = pick_owners(key, candidates, CONTENDERS_PER_REGION)
        return self._fleet.own.gateway in owners
