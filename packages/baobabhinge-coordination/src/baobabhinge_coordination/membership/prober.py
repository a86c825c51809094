"""Probing members through a transport."""

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

HELPERS = 2
PAUSE_FACTOR = 8


class MemberUnreachableError(CoordinationError):
    """A member did not answer in time."""


class Transport(Protocol):
    """The way to other members."""

    async def exchange(self, contact: Contact, request: Exchange) -> Exchange:
        """Send ``request`` and return the answer.

        Raises
        ------
        MemberUnreachableError
            If no answer comes in time.
        """

    async def request_probe(self, helper: Contact, target: Contact) -> bool:
        """Ask ``helper`` whether it can reach ``target``."""


class Prober:
    """Probe members, one at a time.

    Parameters
    ----------
    protocol : MembershipProtocol
        Builder of the exchanges.
    transport : Transport
        The way to other members.
    clock : Clock
        Clock by which a pause of this process is noticed.
    random : Random
        Choice of the members.
    timing : MembershipTiming
        Periods of the protocol.
    """

    __slots__ = (
        '_clock',
        '_order',
        '_protocol',
        '_random',
        '_slow',
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
        """Probe nothing yet."""
        self._protocol = protocol
        self._transport = transport
        self._clock = clock
        self._random = random
        self._order = ProbeOrder(random)
        self._timing = timing
        self._slow = timing.probe_timeout * PAUSE_FACTOR

    async def probe_local_region(self) -> None:
        """Probe the next member of the own region.

        One that answers neither directly nor through helpers is suspected,
        unless this process itself was paused meanwhile.
        """
        view = self._protocol.view
        started = self._clock.read_monotonic()
        expire_members(view, started, self._timing)
        target = self._order.pick(list_peers(view))
        if target is None:
            return
        if await self._reach(target):
            return
        if self._clock.read_monotonic() - started < self._slow:
            view.suspect(target.name)

    async def probe_remote_region(self) -> None:
        """Probe one random member of another region, without a verdict."""
        table = self._protocol.view.table
        regions = set(table.list_regions()) - {self._protocol.view.own.region}
        if not regions:
            return
        region = self._random.choice(sorted(regions))
        members = [one for one in table.list_members(region) if not one.is_dead]
        if members:
            await self.exchange_with(self._random.choice(members).contact)

    async def probe_undiscovered(self, contacts: Sequence[Contact]) -> None:
        """Probe one of ``contacts`` that is not known to live."""
        view = self._protocol.view
        unmet = [
            contact for contact in contacts if is_undiscovered(view, contact)
        ]
        if unmet:
            await self.exchange_with(self._random.choice(unmet))

    async def exchange_with(self, contact: Contact) -> bool:
        """Exchange with one member and tell whether it answered."""
        request = self._protocol.build_request(contact.region)
        try:
            answer = await self._transport.exchange(contact, request)
        except MemberUnreachableError:
            return False
        lacking = self._protocol.apply_answer(answer)
        if lacking is not None:
            await self._supply(contact, lacking)
        return True

    async def _supply(self, contact: Contact, lacking: Exchange) -> None:
        try:
            await self._transport.exchange(contact, lacking)
        except MemberUnreachableError:
            return

    async def _reach(self, target: Member) -> bool:
        if await self.exchange_with(target.contact):
            return True
        helpers = [
            member
            for member in list_peers(self._protocol.view)
            if member.name != target.name
        ]
        count = min(HELPERS, len(helpers))
        for helper in self._random.sample(helpers, count):
            if await self._transport.request_probe(
                helper.contact, target.contact
            ):
                return True
        return False


def list_peers(view: MembershipView) -> Sequence[Member]:
    """Return the other members of the own region that are not dead."""
    return [
        member
        for member in view.table.list_members(view.own.region)
        if member.name != view.own.name and not member.is_dead
    ]


def is_undiscovered(view: MembershipView, contact: Contact) -> bool:
    """Tell whether ``contact`` is another member, not known to live."""
    if contact.address == view.own.address:
        return False
    if contact.name:
        known = view.table.find(contact.name, contact.region)
        return known is None or known.is_dead
    met = {peer.address for peer in list_peers(view)}
    return contact.address not in met
