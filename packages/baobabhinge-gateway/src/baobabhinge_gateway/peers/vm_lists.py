"""Fetching the list of vms from peers while the platform's is unreadable."""

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
from baobabhinge_gateway.supervision import supervised_task

RETRY_INTERVAL = timedelta(milliseconds=500)

log = structlog.get_logger(__name__)


class VmListFetcher(Service):
    """Request the list of vms from peers until this gateway has one.

    A gateway that starts while the platform's list can't be read serves with
    the list that a peer of its region has last read.

    Parameters
    ----------
    client : PeerClient
        Fetches the list.
    watcher : VmWatcher
        Holds the list of vms; a fetched one is applied to it.
    members : MembershipView
        Known gateways.
    random : Random
        Chooses the peer.
    """

    def __init__(
        self,
        client: PeerClient,
        watcher: VmWatcher,
        members: MembershipView,
        random: Random,
    ) -> None:
        """Store the collaborators; nothing is fetched before the start."""
        super().__init__()
        self._client = client
        self._watcher = watcher
        self._members = members
        self._random = random

    @supervised_task
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
