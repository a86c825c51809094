"""The list of vms from other gateways, while the platform's can't be read."""

from contextlib import suppress
from datetime import timedelta
from random import Random

import structlog
from mode import Service

from baobabhinge_coordination.membership import (
    Contact,
    MembershipView,
    MemberUnreachableError,
    list_peers,
)
from baobabhinge_gateway.fleet import VmWatcher
from baobabhinge_gateway.peers.client import PeerClient

RETRY_INTERVAL = timedelta(milliseconds=500)

log = structlog.get_logger(__name__)


class VmListFetcher(Service):
    """Ask peers until this gateway has a list.

    A gateway that starts while the list can't be read serves with the list as
    a peer of its region has last seen it.

    Parameters
    ----------
    client : PeerClient
        Fetcher of documents.
    watcher : VmWatcher
        Where the list goes.
    members : MembershipView
        Known gateways.
    random : Random
        Choice of the peer.
    """

    def __init__(
        self,
        client: PeerClient,
        watcher: VmWatcher,
        members: MembershipView,
        random: Random,
    ) -> None:
        """Ask nothing yet."""
        super().__init__()
        self._client = client
        self._watcher = watcher
        self._members = members
        self._random = random

    @Service.task
    async def _fetch(self) -> None:
        while not self.should_stop and not self._watcher.index.by_name:
            peers = list_peers(self._members)
            if peers:
                await self._fetch_from(self._random.choice(peers).contact)
            await self.sleep(RETRY_INTERVAL)

    async def _fetch_from(self, contact: Contact) -> None:
        with suppress(MemberUnreachableError):
            vms = await self._client.fetch_vms(contact)
            if vms and not self._watcher.index.by_name:
                self._watcher.adopt(vms)
                log.info('vm-list-adopted-from-peer', peer=contact.name)
