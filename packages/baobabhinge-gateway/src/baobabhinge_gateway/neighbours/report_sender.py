"""Choice of the gateways that get crash reports now."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Protocol

from baobabhinge_coordination.clock import Clock
from baobabhinge_gateway.neighbours.byte_budget import ByteBudget
from baobabhinge_gateway.neighbours.datagrams import encode_message
from baobabhinge_gateway.neighbours.messages import CrashReports
from baobabhinge_gateway.neighbours.metrics import PeerMetrics
from baobabhinge_gateway.neighbours.table import (
    GatewayContact,
    GatewayTable,
)

# Bytes of crash reports per second to all gateways together: a twentieth of a
# link of 10 Mbit/s. With more gateways, each one gets fewer.
REPORT_BYTE_RATE = 62_500
# Fraction of the budget that is kept for urgent reports.
URGENT_FRACTION = 0.5


class ReportComposer(Protocol):
    """Composer of the crash reports of this gateway."""

    def compose(self, region: str, *, is_urgent: bool) -> CrashReports | None:
        """Return reports for gateways of a region, ``None`` without any.

        The latest changes come first if they are urgent; otherwise all reports
        take turns.
        """


class ReportSender:
    """Choose what is sent to whom, within a bound on the bytes.

    Load pattern: servers end under requests, or parts of prompts, again and
    again, and all gateways of a large deployment learn of it.

    Parameters
    ----------
    table : GatewayTable
        Contacts of the other gateways.
    composer : ReportComposer
        Composes the reports for one region.
    metrics : PeerMetrics
        Records sizes.
    clock : Clock
        Clock of the byte budget.
    """

    __slots__ = (
        '_budget',
        '_composer',
        '_known',
        '_metrics',
        '_table',
        '_turn',
    )

    def __init__(
        self,
        table: GatewayTable,
        composer: ReportComposer,
        metrics: PeerMetrics,
        clock: Clock,
    ) -> None:
        """Start with a full budget."""
        self._table = table
        self._composer = composer
        self._metrics = metrics
        self._budget = ByteBudget(REPORT_BYTE_RATE, clock)
        self._turn = 0
        self._known: frozenset[str] = frozenset()

    def iterate_due(
        self, *, is_urgent: bool, has_remote: bool
    ) -> Iterator[tuple[bytes, GatewayContact]]:
        """Iterate over datagrams and their receivers, within the budget.

        Parameters
        ----------
        is_urgent : bool
            Whether other gateways are to be told of something new, as those are
            that have just become known. If not, part of the budget is kept.
        has_remote : bool
            Whether gateways of other regions are due.
        """
        contacts = self._list_due(has_remote=has_remote)
        is_news = self._has_new_contacts() or is_urgent
        datagrams = self._compose_all(contacts, is_urgent=is_news)
        for contact in contacts:
            datagram = datagrams[contact.region]
            if datagram and self._try_spend(len(datagram), is_urgent=is_news):
                yield datagram, contact

    def _has_new_contacts(self) -> bool:
        names = frozenset(self._table.contacts)
        known = self._known
        self._known = names
        return not names <= known

    def _list_due(self, *, has_remote: bool) -> Sequence[GatewayContact]:
        """Return the contacts, beginning where the budget ended before."""
        region = self._table.own.region
        contacts = [
            contact
            for contact in self._table.contacts.values()
            if has_remote or contact.region == region
        ]
        start = self._turn % max(1, len(contacts))
        return (*contacts[start:], *contacts[:start])

    def _compose_all(
        self, contacts: Iterable[GatewayContact], *, is_urgent: bool
    ) -> Mapping[str, bytes]:
        """Return the datagram for each region; empty without any reports."""
        regions = {contact.region for contact in contacts}
        composed = {
            region: self._composer.compose(region, is_urgent=is_urgent)
            for region in regions
        }
        return {
            region: encode_message(reports) if reports else b''
            for region, reports in composed.items()
        }

    def _try_spend(self, length: int, *, is_urgent: bool) -> bool:
        reserve = 0 if is_urgent else self._budget.capacity * URGENT_FRACTION
        if not self._budget.try_spend(length, reserve):
            return False
        self._metrics.record_sent(CrashReports.__name__, length, 1)
        self._turn += 1
        return True
