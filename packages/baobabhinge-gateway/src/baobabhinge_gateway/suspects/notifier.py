"""Having the gateways of the region confirm that they know the suspects."""

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
    """Tell every gateway of the region, and wait until each has confirmed.

    A gateway that does not confirm in time counts as unreachable, and is not
    waited for in the next seconds.

    Parameters
    ----------
    ledger : SuspectLedger
        Ledger of this gateway.
    node : PeerNode
        The other gateways.
    clock : Clock
        Clock by which silent gateways are asked again.
    """

    __slots__ = ('_clock', '_ledger', '_node', '_silent')

    def __init__(
        self,
        ledger: SuspectLedger,
        node: PeerNode,
        clock: Clock,
    ) -> None:
        """Tell nothing yet."""
        self._ledger = ledger
        self._node = node
        self._clock = clock
        self._silent: dict[str, timedelta] = {}

    async def notify(self, wanted: str = '') -> bool:
        """Tell of every crash, and take in those of the others.

        Parameters
        ----------
        wanted : str, optional
            What is claimed, if anything.

        Returns
        -------
        bool
            Whether no other gateway is busy with it.
        """
        notice = SuspectNotice(
            self._node.members.own.name,
            self._ledger.export(),
            wanted,
        )
        body = msgspec.json.encode(notice)
        busy = await asyncio.gather(
            *[self._notify_one(contact, body) for contact in self._list()],
        )
        return not any(busy)

    async def _notify_one(self, contact: Contact, body: bytes) -> bool:
        try:
            answer = await self._send(contact, body)
        except (TimeoutError, msgspec.MsgspecError) as bad:
            self._silent[contact.name] = self._clock.read_monotonic()
            log.warning(
                'suspects-unconfirmed',
                gateway=contact.name,
                reason=type(bad).__name__,
            )
            return False
        self._ledger.merge(answer.crashes)
        return answer.is_busy

    async def _send(self, contact: Contact, body: bytes) -> SuspectAnswer:
        async with asyncio.timeout(CONFIRMATION_TIMEOUT.total_seconds()):
            answer = await self._send_again(contact, body)
        return msgspec.json.decode(answer, type=SuspectAnswer)

    async def _send_again(self, contact: Contact, body: bytes) -> bytes:
        while True:
            with suppress(MemberUnreachableError):
                return await self._node.client.post(
                    contact,
                    SUSPECTS_PATH,
                    body,
                    CONFIRMATION_TIMEOUT,
                )
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())

    def _list(self) -> Sequence[Contact]:
        now = self._clock.read_monotonic()
        self._silent = {
            name: instant
            for name, instant in self._silent.items()
            if now - instant < UNCONFIRMED_SKIP_TIME
        }
        return [
            contact
            for contact in list_region_gateways(self._node)
            if contact.name not in self._silent
        ]


def list_region_gateways(node: PeerNode) -> Sequence[Contact]:
    """Return the other gateways of the region that may run calls.

    Those are the members that are not dead, and the listed ones that are not
    known or held dead: callers may reach a gateway that others do not hear.
    """
    own = node.members.own
    contacts = [peer.contact for peer in list_peers(node.members)]
    for listed in node.addresses.list_contacts():
        known = node.members.table.find(listed.name, own.region)
        is_home = listed.region == own.region and listed.name
        if is_home and (known is None or known.is_dead):
            contacts.append(listed)
    return contacts
