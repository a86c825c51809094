"""Questions and answers by which two members bring each other up to date."""

from collections.abc import Iterable, Sequence
from datetime import timedelta
from random import Random
from typing import Protocol

import msgspec

from baobabhinge_coordination.clock import Clock
from baobabhinge_coordination.membership.messages import (
    Exchange,
    Member,
    MembershipTiming,
)
from baobabhinge_coordination.membership.table import MemberTable
from baobabhinge_coordination.membership.view import MembershipView


class PayloadHandler(Protocol):
    """Parts of the embedding program that travel with the exchanges."""

    def compose(self, region: str) -> dict[str, msgspec.Raw]:
        """Return the parts for a member of ``region``."""

    def apply(self, exchange: Exchange) -> None:
        """Take in the parts that came with ``exchange``."""


class MembershipProtocol:
    """Build and take in exchanges; the transport is elsewhere.

    Parameters
    ----------
    view : MembershipView
        Records of all members.
    payloads : PayloadHandler
        Parts that travel with the exchanges.
    clock : Clock
        Clock of the pauses between whole regions.
    random : Random
        Choice of the region whose digest goes along.
    timing : MembershipTiming
        Periods of the protocol.
    """

    __slots__ = ('_payloads', '_random', '_repairs', 'view')

    def __init__(
        self,
        view: MembershipView,
        payloads: PayloadHandler,
        clock: Clock,
        random: Random,
        timing: MembershipTiming,
    ) -> None:
        """Keep the parts."""
        self.view = view
        self._payloads = payloads
        self._random = random
        self._repairs = _RepairLimit(clock, timing.repair_interval)

    def build_request(self, region: str) -> Exchange:
        """Return a question for a member of ``region``."""
        other = self._random.choice(self.view.table.list_regions())
        regions = {self.view.own.region, region, other}
        return self._build(region, self.view.select_updates(), regions)

    def answer(self, request: Exchange) -> Exchange:
        """Take in a question and return its answer.

        A region whose digests differ goes along whole, but not more often
        than the timing allows.
        """
        self._absorb(request)
        table = self.view.table
        updates = [
            *_correct(table, request.sender),
            *self.view.select_updates(),
        ]
        differing = _list_differing(table, request)
        if differing and not self._repairs.take():
            differing = []
        for region in differing:
            updates.extend(table.list_members(region))
        built = self._build(request.sender.region, updates, request.digests)
        return msgspec.structs.replace(built, whole=tuple(differing))

    def apply_answer(self, answer: Exchange) -> Exchange | None:
        """Take in an answer; return what the other side lacks, if anything.

        Only an answer with whole regions tells what the other side lacks.
        """
        self._absorb(answer)
        told = set(map(_identify, answer.updates))
        lacking = [
            member
            for region in answer.whole
            for member in self.view.table.list_members(region)
            if not member.is_dead and _identify(member) not in told
        ]
        if not lacking:
            return None
        return Exchange(self.view.own, tuple(lacking))

    def _absorb(self, exchange: Exchange) -> None:
        self.view.merge(exchange.sender)
        for member in exchange.updates:
            self.view.merge(member)
        self._payloads.apply(exchange)

    def _build(
        self,
        region: str,
        updates: Sequence[Member],
        digested: Iterable[str],
    ) -> Exchange:
        table = self.view.table
        return Exchange(
            self.view.own,
            tuple(updates),
            digests={name: table.digests[name] for name in digested},
            payloads=self._payloads.compose(region),
        )


class _RepairLimit:
    """Lets a whole region through once in an interval."""

    __slots__ = ('_clock', '_interval', '_latest')

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        self._latest: timedelta | None = None

    def take(self) -> bool:
        now = self._clock.read_monotonic()
        if self._latest is not None and now - self._latest < self._interval:
            return False
        self._latest = now
        return True


def _correct(table: MemberTable, sender: Member) -> Sequence[Member]:
    known = table.find(sender.name, sender.region)
    if known is None or not known.supersedes(sender):
        return []
    return [known]


def _list_differing(table: MemberTable, request: Exchange) -> Sequence[str]:
    return [
        region
        for region, digest in request.digests.items()
        if digest != table.digests[region]
    ]


def _identify(member: Member) -> tuple[str, int, int]:
    return (member.name, member.version, int(member.state))
