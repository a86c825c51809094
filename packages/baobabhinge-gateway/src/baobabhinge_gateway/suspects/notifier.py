"""Notices of crashes to the gateways of the region."""

import asyncio
from collections.abc import Sequence
from contextlib import suppress
from datetime import timedelta

import msgspec
import structlog

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership import (
    Contact,
    MemberUnreachableError,
    list_peers,
)
from baobabhinge_coordination.suspects import SuspectLedger
from baobabhinge_gateway.peers import PeerNode
from baobabhinge_gateway.suspects.messages import (
    SuspectAnswer,
    SuspectNotice,
)
from baobabhinge_gateway.suspects.routes import SUSPECTS_PATH

CONFIRMATION_TIMEOUT = timedelta(seconds=2)
RETRY_INTERVAL = timedelta(milliseconds=100)
UNCONFIRMED_SKIP_TIME = timedelta(seconds=3)

log = structlog.get_logger(__name__)


class SuspectNotifier:
    """Notify every gateway of the region and wait until each has confirmed.

    A gateway that does not confirm within `CONFIRMATION_TIMEOUT` counts as
    unreachable, and gets no notice for `UNCONFIRMED_SKIP_TIME`.

    Parameters
    ----------
    ledger : SuspectLedger
        Crash records of this gateway.
    node : PeerNode
        Addresses of and client for the other gateways.
    clock : Clock
        Clock of the time for which unreachable gateways are skipped.
    """

    __slots__ = ('_clock', '_ledger', '_node', '_unreachable_since')

    def __init__(
        self,
        ledger: SuspectLedger,
        node: PeerNode,
        clock: Clock,
    ) -> None:
        """Start without unreachable gateways."""
        self._ledger = ledger
        self._node = node
        self._clock = clock
        self._unreachable_since: dict[str, timedelta] = {}

    async def notify(self, wanted: str = '') -> bool:
        """Send all crashes and merge those of the other gateways.

        Parameters
        ----------
        wanted : str, optional
            Claimed fingerprint or engine; empty if there is no claim.

        Returns
        -------
        bool
            Whether the claim is free: no gateway that answered reported it
            as busy.
        """
        notice = SuspectNotice(
            self._node.members.own.name,
            self._ledger.export(),
            wanted,
        )
        body = msgspec.json.encode(notice)
        busy = await asyncio.gather(
            *[
                self._notify_one(contact, body)
                for contact in self._list_reachable()
            ],
        )
        return not any(busy)

    async def _notify_one(self, contact: Contact, body: bytes) -> bool:
        try:
            answer = await self._send(contact, body)
        except (TimeoutError, msgspec.MsgspecError) as error:
            self._unreachable_since[contact.name] = self._clock.read_monotonic()
            log.warning(
                'suspects-unconfirmed',
                gateway=contact.name,
                reason=type(error).__name__,
            )
            return False
        self._ledger.merge(answer.crashes)
        return answer.is_busy

    async def _send(self, contact: Contact, body: bytes) -> SuspectAnswer:
        async with asyncio.timeout(CONFIRMATION_TIMEOUT.total_seconds()):
            answer = await self._send_with_retries(contact, body)
        return msgspec.json.decode(answer, type=SuspectAnswer)

    async def _send_with_retries(self, contact: Contact, body: bytes) -> bytes:
        while True:
            with suppress(MemberUnreachableError):
                return await self._node.client.post(
                    contact,
                    SUSPECTS_PATH,
                    body,
                    CONFIRMATION_TIMEOUT,
                )
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    def _list_reachable(self) -> Sequence[Contact]:
        now = self._clock.read_monotonic()
        self._unreachable_since = {
            name: instant
            for name, instant in self._unreachable_since.items()
            if now - instant < UNCONFIRMED_SKIP_TIME
        }
        return [
            contact
            for contact in list_region_gateways(self._node)
            if contact.name not in self._unreachable_since
        ]


def list_region_gateways(node: PeerNode) -> Sequence[Contact]:
    """Return the other gateways of the region that may run calls.

    These are the members that are not dead, and the gateways on the list of
    vms that are unknown or recorded as dead: callers may still reach a
    gateway that gets no heartbeats through.
    """
    own = node.members.own
    contacts = [peer.contact for peer in list_peers(node.members)]
    for listed in node.addresses.list_contacts():
        known = node.members.table.find(listed.name, own.region)
        is_local = listed.region == own.region and listed.name
        if is_local and (known is None or known.is_dead):
            contacts.append(listed)
    return contacts
