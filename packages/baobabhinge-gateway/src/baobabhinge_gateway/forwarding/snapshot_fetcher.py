"""Fetching state from gateways that have applied newer store revisions.

Load pattern: hundreds of gateways learn at the same moment that a few of them
know of a change.
"""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.snapshot_query import SnapshotQuery
from baobabhinge_gateway.forwarding.snapshot_reader import (
    NOT_ANSWERED,
    SnapshotReader,
    SourceBusyError,
)
from baobabhinge_gateway.forwarding.snapshot_sources import SnapshotSources
from baobabhinge_gateway.forwarding.snapshot_transfer import apply_snapshot
from baobabhinge_gateway.forwarding.state_parts import StatePart
from baobabhinge_gateway.neighbours import Heartbeat
from baobabhinge_gateway.supervision import SupervisedService

# The store notifies its watchers within some ms; a watcher that is still behind
# after this time gets no notifications.
WATCHER_DELAY = timedelta(milliseconds=200)
# Gateways that don't watch the store fetch after a random part of this, so that
# they don't all send their requests in the same ms.
MAX_OTHER_DELAY = timedelta(milliseconds=20)
# A gateway that does not watch leaves a change that only other regions know to
# the watchers of its region for this time, and a random part of it.
REMOTE_DELAY = timedelta(milliseconds=300)
# Between two requests after a failure, and a random part of it.
RETRY_DELAY = timedelta(milliseconds=50)

NotifyRegion = Callable[[], None]


class SnapshotFetcher(SupervisedService):
    """Fetch each part of the state whenever another gateway has a newer one.

    Parameters
    ----------
    reader : SnapshotReader
        Reads the snapshots.
    core : GatewayCore
        State of this gateway.
    notify_region : callable
        Tells the gateways of the region what this one knows.
    """

    def __init__(
        self,
        reader: SnapshotReader,
        core: GatewayCore,
        notify_region: NotifyRegion,
    ) -> None:
        """Prepare the service; it fetches once it is started."""
        super().__init__()
        self._reader = reader
        self._core = core
        self._notify_region = notify_region
        self._sources = SnapshotSources(core)

    async def on_start(self) -> None:
        """Start a task for each part, so that none waits for another."""
        for part in StatePart:
            self.add_loop(partial(self._fetch_forever, part))

    async def _fetch_forever(self, part: StatePart) -> None:
        core = self._core
        has_news = part.find_lag(core.updater.lag).has_news
        while not self.should_stop:
            await has_news.wait()
            await self.sleep(choose_delay(core).total_seconds())
            # Heartbeats that arrive from here on set the event again.
            has_news.clear()
            if self._sources.are_for_watchers(part):
                await self._pause(REMOTE_DELAY)
            source = self._sources.choose(part)
            while source is not None and not self.should_stop:
                source = await self._fetch(source, part)

    async def _fetch(
        self, source: Heartbeat, part: StatePart
    ) -> Heartbeat | None:
        """Fetch a part of the state; return whom to ask next if that failed."""
        updater = self._core.updater
        query = SnapshotQuery(
            part.ask_since(part.read(updater.known_to)),
            self._core.state.configuration.version,
            updater.servers.revisions.progress.complete_to,
            is_inflatable=True,
        )
        lag = part.find_lag(updater.lag)
        try:
            body = await self._reader.read(source.hop_address, query, lag)
        except SourceBusyError as busy:
            await self._pause(busy.retry_after)
        except NOT_ANSWERED:
            self._sources.avoid(source)
            await self._pause(RETRY_DELAY)
        else:
            apply_snapshot(updater, body, query.since)
            if not self._sources.is_local(source) and self._core.is_watcher():
                self._notify_region()
            return None
        return self._sources.choose(part)

    async def _pause(self, shortest: timedelta) -> None:
        """Wait up to twice as long, so that not all go on in the same ms."""
        factor = 1 + self._core.ingress.random.random()
        await self.sleep((shortest * factor).total_seconds())


def choose_delay(core: GatewayCore) -> timedelta:
    """Return how long to wait before a snapshot is fetched.

    A watcher gives the store time to send the change itself.
    """
    if core.is_watcher():
        return WATCHER_DELAY
    return MAX_OTHER_DELAY * core.ingress.random.random()
