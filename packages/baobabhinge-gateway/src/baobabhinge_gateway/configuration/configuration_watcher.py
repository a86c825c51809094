"""Service that fetches newer configurations from the key-value service."""

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
from baobabhinge_gateway.supervision import supervised_task

NO_DELAY = timedelta()
INITIAL_RETRY_DELAY = timedelta(milliseconds=500)
MAX_WATCHER_RETRY_DELAY = timedelta(seconds=3)
MAX_READER_RETRY_DELAY = timedelta(minutes=2)
# Delay until a gateway checks again whether it is a watcher, or a watcher
# without a manifest looks for one again.
ROLE_CHECK_INTERVAL = timedelta(seconds=1)
WATCH_TIMEOUT = timedelta(seconds=20)

log = structlog.get_logger(__name__)


class ConfigurationWatcher(Service):
    """Watch the manifest if this gateway is a watcher of its region.

    The other gateways of the region receive releases from their peers. A
    gateway without a configuration reads the manifest until it has one.

    Parameters
    ----------
    active : ActiveConfiguration
        Configuration to which newer releases are applied.
    reader : ReleaseReader
        Reader of releases in the key-value service.
    fleet : GatewayList
        Live gateways, by which the watchers of the region are chosen.
    random : Random
        Source of the jitter in the delays after failures.
    """

    def __init__(
        self,
        active: ActiveConfiguration,
        reader: ReleaseReader,
        fleet: GatewayList,
        random: Random,
    ) -> None:
        """Set up one back-off for watchers and one for other readers."""
        super().__init__()
        self._active = active
        self._reader = reader
        self._fleet = fleet
        self._backoffs = {
            True: Backoff(random, INITIAL_RETRY_DELAY, MAX_WATCHER_RETRY_DELAY),
            False: Backoff(random, INITIAL_RETRY_DELAY, MAX_READER_RETRY_DELAY),
        }

    @supervised_task
    async def _watch(self) -> None:
        while not self.should_stop:
            delay = await self._update_configuration()
            await self.sleep(delay)

    async def _update_configuration(self) -> timedelta:
        self._active.is_watching = self._is_watcher()
        try:
            release = await self._read_release()
        except (StoreError, msgspec.MsgspecError) as error:
            log.warning('manifest-unread', reason=type(error).__name__)
            return self._backoffs[self._active.is_watching].draw_delay()
        self._backoffs[self._active.is_watching].reset()
        if release is not None and self._active.adopt(release):
            log.info('configuration-adopted', generation=release.generation)
        if self._active.is_watching and self._reader.has_manifest:
            return NO_DELAY
        return ROLE_CHECK_INTERVAL

    def _is_watcher(self) -> bool:
        home = self._fleet.own
        live = [vm.name for vm in self._fleet.list_gateways(home.region)]
        return is_watcher(home.gateway, live)

    async def _read_release(self) -> Release | None:
        if self._active.is_watching:
            return await self._reader.wait_for_newer(WATCH_TIMEOUT)
        if self._active.generation:
            return None
        return await self._reader.read_current()
