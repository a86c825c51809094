"""Fetching state from gateways that have applied newer store revisions."""

from collections.abc import Sequence
from datetime import timedelta

from baobabhinge_gateway.forwarding.core import GatewayCore
from baobabhinge_gateway.forwarding.snapshot import (
    UNWANTED,
    StoreRevisions,
)
from baobabhinge_gateway.forwarding.snapshot_reader import SnapshotReader
from baobabhinge_gateway.forwarding.snapshot_transfer import apply_snapshot
from baobabhinge_gateway.neighbours import Heartbeat
from baobabhinge_gateway.supervision import SupervisedService

# The store notifies its watchers within some ms; a watcher that is still behind
# after this time gets no notifications.
WATCHER_DELAY = timedelta(milliseconds=200)
# Gateways that don't watch the store fetch after a random part of this, so that
# they don't all send their requests in the same ms.
MAX_OTHER_DELAY = timedelta(milliseconds=20)


class SnapshotFetcher(SupervisedService):
    """Fetch a snapshot whenever this gateway is behind another one.

    Parameters
    ----------
    reader : SnapshotReader
        Reads the snapshots.
    core : GatewayCore
        State of this gateway.
    """

    def __init__(self, reader: SnapshotReader, core: GatewayCore) -> None:
        """Prepare the service; it fetches once it is started."""
        super().__init__()
        self._reader = reader
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
            is_of_servers = wanted.operators == UNWANTED
            lag = (
                updater.lag.servers if is_of_servers else updater.lag.operators
            )
            answer = await self._reader.read(source.hop_address, wanted, lag)
            if answer is None:
                return
            apply_snapshot(updater, answer.body, wanted)


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
