"""Heartbeat part with the crashes that the gateways of a region know."""

import msgspec

from baobabhinge_coordination.membership import Member
from baobabhinge_coordination.suspects import CrashRecord, SuspectLedger


class SuspectPart:
    """Heartbeat part with the crash records; sent only within the region.

    Parameters
    ----------
    ledger : SuspectLedger
        Crash records of this gateway.
    """

    __slots__ = ('_ledger', 'is_region_local', 'name')

    def __init__(self, ledger: SuspectLedger) -> None:
        """Store the ledger."""
        self._ledger = ledger
        self.name = 'suspects'
        self.is_region_local = True

    def compose(self) -> bytes:
        """Return all crash records as JSON; empty bytes if there are none."""
        records = self._ledger.export()
        return msgspec.json.encode(records) if records else b''

    def apply(self, sender: Member, body: bytes) -> None:
        """Merge the crash records of another gateway.

        Raises
        ------
        msgspec.MsgspecError
            If the payload is malformed.
        """
        self._ledger.merge(msgspec.json.decode(body, type=list[CrashRecord]))
