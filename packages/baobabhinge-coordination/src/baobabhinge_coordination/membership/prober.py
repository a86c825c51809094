"""Prober of members, and the transport that it uses."""

from collections.abc import Sequence
from random import Random
from typing import Protocol

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.errors import CoordinationError
from baobabhinge_coordination.membership.expiry import expire_members
from baobabhinge_coordination.membership.messages import (
    Contact,
    Exchange,
    Member,
    MembershipTiming,
)
from baobabhinge_coordination.membership.probe_order import ProbeOrder
from baobabhinge_coordination.membership.protocol import MembershipProtocol
from baobabhinge_coordination.membership.view import MembershipView

HELPER_COUNT = 2
# A probe that takes this many timeouts shows that this process was paused.
PAUSED_PROBE_TIMEOUTS = 8


class MemberUnreachableError(CoordinationError):
    """A member did not answer within the timeout."""


class Transport(Protocol):
    """Connection to other members."""

    async def exchange(self, contact: Contact, request: Exchange) -> Exchange:
        """Send ``request`` and return the answer.

        Raises
        ------
        MemberUnreachableError
            If no answer arrives within the timeout.
        """

    async def request_probe(self, helper: Contact, target: Contact) -> bool:
        """Return whether ``helper`` reaches ``target`` (SWIM's ping-req)."""


class Prober:
    """Probe one member at a time.

    Parameters
    ----------
    protocol : MembershipProtocol
        Builds requests and applies answers.
    transport : Transport
        Sends the exchanges.
    clock : Clock
        Clock that shows whether this process was paused.
    random : Random
        Generator that chooses the members.
    timing : MembershipTiming
        Intervals and timeouts of the protocol.
    """

    __slots__ = (
        '_clock',
        '_max_probe_time',
        '_order',
        '_protocol',
        '_random',
        '_timing',
        '_transport',
    )

    def __init__(
        self,
        protocol: MembershipProtocol,
        transport: Transport,
        clock: Clock,
        random: Random,
        timing: MembershipTiming,
    ) -> None:
        """Store the collaborators; nothing is probed yet."""
        self._protocol = protocol
        self._transport = transport
        self._clock = clock
        self._random = random
        self._order = ProbeOrder(random)
        self._timing = timing
        self._max_probe_time = timing.probe_timeout * PAUSED_PROBE_TIMEOUTS

    async def probe_local_region(self) -> None:
        """Probe the next member of the local region.

        A member that answers neither directly nor through helpers becomes
        suspect, unless this process was paused during the probe.
        """
        view = self._protocol.view
        started = self._clock.read_monotonic()
        expire_members(view, started, self._timing)
        target = self._order.pick(list_peers(view))
        if target is None:
            return
        if await self._probe_with_helpers(target):
            return
        if self._clock.read_monotonic() - started < self._max_probe_time:
            view.suspect(target.name)

    async def probe_remote_region(self) -> None:
        """Probe a random member of another region; it is never suspected."""
        table = self._protocol.view.table
        regions = set(table.list_regions()) - {self._protocol.view.own.region}
        if not regions:
            return
        region = self._random.choice(sorted(regions))
        members = [
            member
            for member in table.list_members(region)
            if not member.is_dead
        ]
        if members:
            await self.exchange_with(self._random.choice(members).contact)

    async def probe_undiscovered(self, contacts: Sequence[Contact]) -> None:
        """Probe one of ``contacts`` that is not known to be alive."""
        view = self._protocol.view
        undiscovered = [
            contact for contact in contacts if is_undiscovered(view, contact)
        ]
        if undiscovered:
            await self.exchange_with(self._random.choice(undiscovered))

    async def exchange_with(self, contact: Contact) -> bool:
        """Exchange records with a member; return whether it answered."""
        request = self._protocol.build_request(contact.region)
        try:
            answer = await self._transport.exchange(contact, request)
        except MemberUnreachableError:
            return False
        missing = self._protocol.apply_answer(answer)
        if missing is not None:
            await self._send_missing(contact, missing)
        return True

    async def _send_missing(self, contact: Contact, missing: Exchange) -> None:
        try:
            await self._transport.exchange(contact, missing)
        except MemberUnreachableError:
            return

    async def _probe_with_helpers(self, target: Member) -> bool:
        if await self.exchange_with(target.contact):
            return True
        helpers = [
            member
            for member in list_peers(self._protocol.view)
            if member.name != target.name
        ]
        count = min(HELPER_COUNT, len(helpers))
        for helper in self._random.sample(helpers, count):
            if await self._transport.request_probe(
                helper.contact, target.contact
            ):
                return True
        return False


def list_peers(view: MembershipView) -> Sequence[Member]:
    """Return the other members of the local region that are not dead."""
    return [
        member
        for member in view.table.list_members(view.own.region)
        if member.name != view.own.name and not member.is_dead
    ]


def is_undiscovered(view: MembershipView, contact: Contact) -> bool:
    """Return whether ``contact`` is another member not known to be alive."""
    if contact.address == view.own.address:
        return False
    if contact.name:
        known = view.table.find(contact.name, contact.region)
        return known is None or known.is_dead
    known_addresses = {peer.address for peer in list_peers(view)}
    return contact.address not in known_addresses
