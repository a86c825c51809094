"""Exchange of the speeds and paces of servers between gateways.

Load pattern: tens of gateways, each of which sees few answers of each server,
and disturbances of servers that are shorter than a few heartbeats.
"""

from datetime import timedelta

from baobabhinge_gateway.neighbours import (
    GatewayTable,
    SectionRegistry,
    SectionSender,
)
from baobabhinge_gateway.neighbours.sections import Address
from baobabhinge_gateway.pace.figures import ServiceFigures
from baobabhinge_gateway.pace.reports import decode_report, encode_report
from baobabhinge_gateway.pace.tracker import PaceTracker

# Speeds change slowly, and each report is read by all gateways of a region.
LOCAL_INTERVAL = timedelta(seconds=1)
# Traffic between regions is expensive.
REMOTE_INTERVAL = timedelta(seconds=2)
# Gateways that report the sums of their region to others; two, in case one of
# them ends.
REPORTERS = 2


class PaceSection:
    """Reports of the speeds of servers, and messages on slow ones.

    Gateways of the own region get what this gateway has observed. Those of
    other regions get the sums of the region, from the first gateways by name.

    Parameters
    ----------
    tracker : PaceTracker
        Observations of this gateway.
    gateways : GatewayTable
        Other gateways.
    sections : SectionRegistry
        Sends messages to single gateways.
    """

    name = 'pace'

    __slots__ = ('_composed', '_gateways', '_sections', '_tracker')

    def __init__(
        self,
        tracker: PaceTracker,
        gateways: GatewayTable,
        sections: SectionRegistry,
    ) -> None:
        """Start without reports."""
        self._tracker = tracker
        self._gateways = gateways
        self._sections = sections
        self._composed: dict[str, timedelta] = {}

    def compose(self, region: str) -> bytes | None:
        """Return the report for a region, or ``None`` if none is due."""
        is_local = region == self._gateways.own.region
        interval = LOCAL_INTERVAL if is_local else REMOTE_INTERVAL
        if not self._is_due(region, interval):
            return None
        tables = self._tracker.tables
        if is_local:
            return self._encode(tables.own.read())
        own = self._gateways.own
        if own.name not in self._gateways.list_names(own.region)[:REPORTERS]:
            return None
        return self._encode(tables.sum_all(own.region))

    def receive(self, sender: SectionSender, payload: bytes) -> None:
        """Apply the report of another gateway."""
        figures, paces = decode_report(payload)
        self._tracker.tables.reported.record(
            sender.name, sender.region, figures
        )
        self._tracker.paces.merge(paces)

    def receive_message(
        self, sender: SectionSender, payload: bytes, source: Address
    ) -> None:
        """Apply what another gateway has just learned of slow servers."""
        _figures, paces = decode_report(payload)
        self._tracker.paces.merge(paces)

    def tell_slow(self) -> None:
        """Tell the gateways of the region which servers are slow now.

        Heartbeats are too far apart: some disturbances last 0.6 s.
        """
        own = self._gateways.own
        self._sections.send(
            self.name,
            encode_report({}, self._tracker.paces.export_slow()),
            [
                contact.address
                for contact in self._gateways.contacts.values()
                if contact.region == own.region
            ],
        )

    def _is_due(self, region: str, interval: timedelta) -> bool:
        now = self._gateways.clock.read_monotonic()
        last = self._composed.get(region)
        if last is not None and now - last < interval:
            return False
        self._composed[region] = now
        return True

    def _encode(self, figures: ServiceFigures) -> bytes | None:
        paces = self._tracker.paces.export_slow()
        if not any(figures.values()) and not paces:
            return None
        return encode_report(figures, paces)


def register_section(
    tracker: PaceTracker, gateways: GatewayTable, sections: SectionRegistry
) -> None:
    """Exchange the speeds and paces of servers from now on."""
    section = PaceSection(tracker, gateways, sections)
    sections.register(section)
    tracker.paces.on_slow = section.tell_slow
