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
from baobabhinge_gateway.configuration.active_configuration import (
    ActiveConfiguration,
)
from baobabhinge_gateway.configuration.gateway_list import GatewayList

NO_DELAY = timedelta()
INITIAL_RETRY_DELAY = timedelta(milliseconds=500)
MAX_WATCHER_RETRY_DELAY = timedelta(seconds=3)
MAX_READER_RETRY_DELAY = timedelta(minutes=2)
ROLE_CHECK_INTERVAL = timedelta(seconds=1)
WATCH_TIMEOUT = timedelta(seconds=20)

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
            True: Backoff(random, INITIAL_RETRY_DELAY, MAX_WATCHER_RETRY_DELAY),
            False: Backoff(random, INITIAL_RETRY_DELAY, MAX_READER_RETRY_DELAY),
        }

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            pause = await self._update_configuration()
            await self.sleep(pause)

    async def _update_configuration(self) -> timedelta:
        self._active.is_watching = self._is_watcher()
        try:
            release = await self._read_release()
        except (StoreError, msgspec.MsgspecError) as bad:
            log.warning('manifest-unread', reason=type(bad).__name__)
            return self._backoffs[self._active.is_watching].draw_delay()
        self._backoffs[self._active.is_watching].reset()
        if release is not None and self._active.adopt(release):
            log.info('configuration-adopted', generation=release.generation)
        if self._active.is_watching and self._reader.has_manifest:
            return NO_DELAY
        return ROLE_CHECK_INTERVAL

    def _is_watcher(self) -> bool:
        home = self._fleet.home
        live = [vm.name for vm in self._fleet.list_gateways(home.region)]
        return is_watcher(home.gateway, live)

    async def _read_release(self) -> Release | None:
        if self._active.is_watching:
            return await self._reader.wait_for_newer(WATCH_TIMEOUT)
        if self._active.generation:
            return None
        return await self._reader.read_current()
