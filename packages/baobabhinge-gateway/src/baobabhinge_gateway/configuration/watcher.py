"""Learning newer configurations from the key-value service."""

from datetime import timedelta

import structlog
from mode import Service

from baobabhinge_coordination.generations import ReleaseReader
from baobabhinge_coordination.store import StoreError
from baobabhinge_gateway.configuration.active import ActiveConfiguration

RETRY_INTERVAL = timedelta(milliseconds=500)
WATCH_PATIENCE = timedelta(seconds=20)

log = structlog.get_logger(__name__)


class ConfigurationWatcher(Service):
    """Hold one watch on the manifest.

    Parameters
    ----------
    active : ActiveConfiguration
        Where newer releases go.
    reader : ReleaseReader
        Reader of releases.
    """

    def __init__(
        self,
        active: ActiveConfiguration,
        reader: ReleaseReader,
    ) -> None:
        """Watch nothing yet."""
        super().__init__()
        self._active = active
        self._reader = reader

    @Service.task
    async def _watch(self) -> None:
        while not self.should_stop:
            try:
                await self._take_next()
            except StoreError as bad:
                log.warning('store-unreachable', reason=type(bad).__name__)
                await self.sleep(RETRY_INTERVAL)

    async def _take_next(self) -> None:
        release = await self._reader.wait_newer(WATCH_PATIENCE)
        if release is not None and self._active.adopt(release):
            log.info('configuration-adopted', generation=release.generation)
