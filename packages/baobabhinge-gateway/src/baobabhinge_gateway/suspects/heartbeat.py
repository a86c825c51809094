"""Crashes as the gateways of one region tell them to each other."""

import msgspec

from baobabhinge_coordination.membership import Member
from baobabhinge_coordination.suspects import CrashRecord, SuspectLedger


class SuspectPart:
    """Payload of the heartbeats; it never leaves the region.

    Parameters
    ----------
    ledger : SuspectLedger
        Ledger of this gateway.
    """

    __slots__ = ('_ledger', 'is_region_local', 'name')

    def __init__(self, ledger: SuspectLedger) -> None:
        """Keep the ledger."""
        self._ledger = ledger
        self.name = 'suspects'
        self.is_region_local = True

    def compose(self) -> bytes:
        """Return every crash; nothing if there was none."""
        records = self._ledger.export()
        return msgspec.json.encode(records) if records else b''

    def apply(self, sender: Member, body: bytes) -> None:
        """Take in the crashes that another gateway knows."""
        self._ledger.merge(msgspec.json.decode(body, type=list[CrashRecord]))
