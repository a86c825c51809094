"""Requests and answers by which two members synchronize their records."""

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
    """Source and recipient of the payloads of the embedding program."""

    def compose(self, region: str) -> dict[str, msgspec.Raw]:
        """Return the payloads for a member of ``region``, by name."""

    def apply(self, exchange: Exchange) -> None:
        """Apply the payloads of a received exchange."""


class MembershipProtocol:
    """Build and apply exchanges; sending them is left to a `Transport`.

    Parameters
    ----------
    view : MembershipView
        Records of all members.
    payloads : PayloadHandler
        Source and recipient of the payloads of the exchanges.
    clock : Clock
        Clock that limits how often an answer carries every record of a
        region.
    random : Random
        Generator that chooses one more region whose digest is sent.
    timing : MembershipTiming
        Intervals and timeouts of the protocol.
    """

    __slots__ = ('_payloads', '_random', '_repair_limiter', 'view')

    def __init__(
        self,
        view: MembershipView,
        payloads: PayloadHandler,
        clock: Clock,
        random: Random,
        timing: MembershipTiming,
    ) -> None:
        """Store the collaborators."""
        self.view = view
        self._payloads = payloads
        self._random = random
        self._repair_limiter = _RepairLimiter(clock, timing.repair_interval)

    def build_request(self, region: str) -> Exchange:
        """Return a request for a member of ``region``.

        It carries digests of the local region, of ``region`` and of a random
        one.
        """
        other = self._random.choice(self.view.table.list_regions())
        regions = {self.view.own.region, region, other}
        return self._build(region, self.view.select_updates(), regions)

    def answer(self, request: Exchange) -> Exchange:
        """Apply a request and return its answer.

        The answer carries all records of the regions whose digests differ, at
        most once in each ``repair_interval``.
        """
        self._apply(request)
        table = self.view.table
        updates = [
            *_list_corrections(table, request.sender),
            *self.view.select_updates(),
        ]
        differing = _list_differing(table, request)
        if differing and not self._repair_limiter.try_acquire():
            differing = []
        for region in differing:
            updates.extend(table.list_members(region))
        built = self._build(request.sender.region, updates, request.digests)
        return msgspec.structs.replace(built, whole=tuple(differing))

    def apply_answer(self, answer: Exchange) -> Exchange | None:
        """Apply an answer; return the records that its sender is missing.

        Only an answer that carries every record of a region shows what its
        sender is missing; ``None`` is returned if nothing is known to be
        missing.
        """
        self._apply(answer)
        received = set(map(_get_record_version, answer.updates))
        missing = [
            member
            for region in answer.whole
            for member in self.view.table.list_members(region)
            if not member.is_dead
            and _get_record_version(member) not in received
        ]
        if not missing:
            return None
        return Exchange(self.view.own, tuple(missing))

    def _apply(self, exchange: Exchange) -> None:
        self.view.merge(exchange.sender)
        for member in exchange.updates:
            self.view.merge(member)
        self._payloads.apply(exchange)

    def _build(
        self,
        region: str,
        updates: Sequence[Member],
        digest_regions: Iterable[str],
    ) -> Exchange:
        table = self.view.table
        return Exchange(
            self.view.own,
            tuple(updates),
            digests={name: table.digests[name] for name in digest_regions},
            payloads=self._payloads.compose(region),
        )


class _RepairLimiter:
    """Allows one answer with every record of a region in each interval."""

    __slots__ = ('_clock', '_interval', '_latest')

    def __init__(self, clock: Clock, interval: timedelta) -> None:
        self._clock = clock
        self._interval = interval
        self._latest: timedelta | None = None

    def try_acquire(self) -> bool:
        now = self._clock.read_monotonic()
        if self._latest is not None and now - self._latest < self._interval:
            return False
        self._latest = now
        return True


def _list_corrections(table: MemberTable, sender: Member) -> Sequence[Member]:
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


def _get_record_version(member: Member) -> tuple[str, int, int]:
    return (member.name, member.version, int(member.state))
