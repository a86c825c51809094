"""Learning from other gateways what the store did not tell this one."""

from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import structlog
from mode import Service

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.exchange import fetch
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.state_updater import apply_snapshot
from baobabhinge_gateway.neighbours import Heartbeat

SNAPSHOT_PATH = '/knowledge'
# The store tells all its watchers within some ms; one that is still behind
# after this time does not hear it.
WATCHER_DELAY = timedelta(milliseconds=200)
# Those that do not watch ask at once, but not all in the same ms.
MAX_OTHER_DELAY = timedelta(milliseconds=20)
FETCH_TIMEOUT = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class SnapshotFetcher(Service):
    """Fetch the knowledge of a gateway that has seen more.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session that the caller owns.
    core : GatewayCore
        State of this gateway.
    """

    def __init__(self, http: aiohttp.ClientSession, core: GatewayCore) -> None:
        """Fetch nothing yet."""
        super().__init__()
        self._http = http
        self._core = core

    async def on_start(self) -> None:
        """Begin."""
        self.add_future(self._catch_up_forever())

    async def _catch_up_forever(self) -> None:
        core = self._core
        while not self.should_stop:
            await core.updater.is_behind.wait()
            await self.sleep(choose_delay(core).total_seconds())
            # What is heard from here on is looked at again.
            core.updater.is_behind.clear()
            ahead = list_newer_gateways(core)
            if ahead:
                source = core.ingress.random.choice(ahead)
                await self._fetch(source.hop_address)

    async def _fetch(self, address: str) -> None:
        path = '?'.join(
            (SNAPSHOT_PATH, self._core.updater.revisions.format_query())
        )
        try:
            body = await fetch(self._http, address, path, FETCH_TIMEOUT)
        except (NotReachedError, ForwardingError) as lost:
            log.info('knowledge-not-fetched', source=address, reason=repr(lost))
            return
        apply_snapshot(self._core.updater, body)


def choose_delay(core: GatewayCore) -> timedelta:
    """Return how long a gateway that is behind waits for the store."""
    if core.is_watcher():
        return WATCHER_DELAY
    return MAX_OTHER_DELAY * core.ingress.random.random()


def list_newer_gateways(core: GatewayCore) -> Sequence[Heartbeat]:
    """Return the heartbeats of gateways that have seen more.

    Those of the own region go first: if there are any, others are left out.
    """
    ahead = [
        beat
        for beat in core.gateways.list_live()
        if beat.marks.is_ahead_of(core.updater.revisions)
    ]
    region = core.settings.own.region
    return [beat for beat in ahead if beat.region == region] or ahead
