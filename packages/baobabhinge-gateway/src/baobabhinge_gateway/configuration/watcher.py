"""Learning newer configurations from the key-value service."""

from datetime import timedelta
from random import Random

import msgspec
import structlog
from mode import Service

from baobabhinge_coordination.backoff import Backoff
from baobabhinge_coordination.generations import (
    Release,
    ReleaseReader,
    is_watcher,
)
from baobabhinge_coordination.store import StoreError
from baobabhinge_gateway.configuration.active import ActiveConfiguration
from baobabhinge_gateway.configuration.gateways import GatewayList

NO_PAUSE = timedelta()
RETRY_INTERVAL = timedelta(milliseconds=500)
LONGEST_WATCHER_RETRY = timedelta(seconds=3)
LONGEST_READER_RETRY = timedelta(minutes=2)
RANK_INTERVAL = timedelta(seconds=1)
WATCH_PATIENCE = timedelta(seconds=20)

log = structlog.get_logger(__name__)


class ConfigurationWatcher(Service):
    """Hold a watch on the manifest if this gateway is among the watchers.

    The other gateways of the region learn from their peers. One that has no
    configuration yet reads the manifest until it has one.

    Parameters
    ----------
    active : ActiveConfiguration
        Where newer releases go.
    reader : ReleaseReader
        Reader of releases.
    fleet : GatewayList
        Gateways of the region.
    random : Random
        Jitter of the pauses after failures.
    """

    def __init__(
        self,
        active: ActiveConfiguration,
        reader: ReleaseReader,
        fleet: GatewayList,
        random: Random,
    ) -> None:
        """Watch nothing yet."""
        super().__init__()
        self._active = active
        self._reader = reader
        self._fleet = fleet
        self._backoffs = {
            True: Backoff(random, RETRY_INTERVAL, LONGEST_WATCHER_RETRY),
            False: Backoff(random, RETRY_INTERVAL, LONGEST_READER_RETRY),
        }

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            pause = await self._learn()
            await self.sleep(pause)

    async def _learn(self) -> timedelta:
        self._active.is_watching = self._ranks_among_watchers()
        try:
            release = await self._read()
        except (StoreError, msgspec.MsgspecError) as bad:
            log.warning('manifest-unread', reason=type(bad).__name__)
            return self._backoffs[self._active.is_watching].draw_delay()
        self._backoffs[self._active.is_watching].reset()
        if release is not None and self._active.adopt(release):
            log.info('configuration-adopted', generation=release.generation)
        if self._active.is_watching and self._reader.has_manifest:
            return NO_PAUSE
        return RANK_INTERVAL

    def _ranks_among_watchers(self) -> bool:
        own = self._fleet.own
        live = [vm.name for vm in self._fleet.list_gateways(own.region)]
        return is_watcher(own.gateway, live)

    async def _read(self) -> Release | None:
        if self._active.is_watching:
            return await self._reader.wait_for_newer(WATCH_PATIENCE)
        if self._active.generation:
            return None
        return await self._reader.read_current()
