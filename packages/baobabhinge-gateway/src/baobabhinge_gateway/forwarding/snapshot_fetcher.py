"""Fetching state from gateways that have applied newer store revisions."""

from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import structlog

from baobabhinge_gateway.errors import NotReachedError
from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.fetching import fetch
from baobabhinge_gateway.forwarding.problems import ForwardingError
from baobabhinge_gateway.forwarding.snapshot import (
    SNAPSHOT_PATH,
    UNWANTED,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.snapshot_transfer import apply_snapshot
from baobabhinge_gateway.neighbours import Heartbeat
from baobabhinge_gateway.supervision import SupervisedService

# The store notifies its watchers within some ms; a watcher that is still behind
# after this time gets no notifications.
WATCHER_DELAY = timedelta(milliseconds=200)
# Gateways that don't watch the store fetch after a random part of this, so that
# they don't all send their requests in the same ms.
MAX_OTHER_DELAY = timedelta(milliseconds=20)
FETCH_TIMEOUT = timedelta(seconds=1)

log = structlog.get_logger(__name__)


class SnapshotFetcher(SupervisedService):
    """Fetch a snapshot whenever this gateway is behind another one.

    Parameters
    ----------
    http : aiohttp.ClientSession
        Session for the requests; it is not closed here.
    core : GatewayCore
        State of this gateway.
    """

    def __init__(self, http: aiohttp.ClientSession, core: GatewayCore) -> None:
        """Prepare the service; it fetches once it is started."""
        super().__init__()
        self._http = http
        self._core = core

    async def on_start(self) -> None:
        """Start the task that waits for newer revisions."""
        self.add_loop(self._fetch_forever)

    async def _fetch_forever(self) -> None:
        core = self._core
        while not self.should_stop:
            await core.updater.is_behind.wait()
            await self.sleep(choose_delay(core).total_seconds())
            # Heartbeats that arrive from here on set the event again.
            core.updater.is_behind.clear()
            newer = list_newer_gateways(core)
            if newer:
                source = core.ingress.random.choice(newer)
                await self._fetch(source)

    async def _fetch(self, source: Heartbeat) -> None:
        updater = self._core.updater
        for wanted in list_wanted(updater.known_to, source.marks):
            path = f'{SNAPSHOT_PATH}?{wanted.format_query()}'
            address = source.hop_address
            try:
                body = await self._read(address, path)
            except (NotReachedError, ForwardingError) as lost:
                log.info(
                    'snapshot-not-fetched', source=address, reason=repr(lost)
                )
                return
            apply_snapshot(updater, body, wanted)

    async def _read(self, address: str, path: str) -> bytes:
        bounds = self._core.ingress.bounds
        with bounds.memory.open_use() as memory:
            return await fetch(self._http, address, path, FETCH_TIMEOUT, memory)


def list_wanted(
    own: StoreRevisions, newer: StoreRevisions
) -> Sequence[StoreRevisions]:
    """Return the revisions to ask for, one request each.

    The operators' state goes ahead of the list of servers, which is longer and
    changes more often.

    Parameters
    ----------
    own : StoreRevisions
        Revisions up to which this gateway knows all changes.
    newer : StoreRevisions
        Newest changes that the gateway knows that is asked.
    """
    wanted = []
    if newer.operators > own.operators:
        wanted.append(StoreRevisions(own.operators, UNWANTED))
    if newer.servers > own.servers:
        wanted.append(StoreRevisions(UNWANTED, own.servers))
    return wanted


def choose_delay(core: GatewayCore) -> timedelta:
    """Return how long to wait before a snapshot is fetched.

    A watcher gives the store time to send the change itself.
    """
    if core.is_watcher():
        return WATCHER_DELAY
    return MAX_OTHER_DELAY * core.ingress.random.random()


def list_newer_gateways(core: GatewayCore) -> Sequence[Heartbeat]:
    """Return the heartbeats of gateways that know of newer changes.

    Other regions are left out if the local region has such a gateway.
    """
    newer = [
        heartbeat
        for heartbeat in core.gateways.list_live()
        if heartbeat.marks.is_ahead_of(core.updater.known_to)
    ]
    region = core.settings.own.region
    return [
        heartbeat for heartbeat in newer if heartbeat.region == region
    ] or newer
