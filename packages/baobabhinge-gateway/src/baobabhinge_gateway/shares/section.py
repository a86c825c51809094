"""Section of heartbeats with the work of calls."""

from baobabhinge_gateway.neighbours import SectionSender
from baobabhinge_gateway.neighbours.sections import Address
from baobabhinge_gateway.shares.regional import RegionalWork
from baobabhinge_gateway.shares.reports import decode_report, encode_report


class ShareSection:
    """Report the work of calls to the other gateways of the region.

    Parameters
    ----------
    work : RegionalWork
        Work of the region.
    region : str
        Region of this gateway.
    """

    __slots__ = ('_region', '_work', 'name')

    def __init__(self, work: RegionalWork, region: str) -> None:
        """Store the collaborators."""
        self.name = 'shares'
        self._work = work
        self._region = region

    def compose(self, region: str) -> bytes | None:
        """Return the sums of this gateway for its own region."""
        if region != self._region:
            return None
        return encode_report(self._work.read_own())

    def receive(self, sender: SectionSender, payload: bytes) -> None:
        """Record the sums of another gateway of the region."""
        if sender.region == self._region:
            report = decode_report(payload)
            self._work.reported.record(sender.name, report)

    def receive_message(
        self, sender: SectionSender, payload: bytes, source: Address
    ) -> None:
        """Ignore a message; sums are in heartbeats only."""
